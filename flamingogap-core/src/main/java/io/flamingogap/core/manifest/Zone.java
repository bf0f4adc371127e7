package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.StringPattern;

/**
 * An availability zone.
 *
 * @param name the name used by the settings and the cloud
 * @param region the region it belongs to
 */
public record Zone(@StringPattern(StringPattern.NAME) String name, @StringPattern(StringPattern.NAME) String region) {
}
