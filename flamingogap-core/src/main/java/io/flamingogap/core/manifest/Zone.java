package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.StringPattern;

/**
 * Availability zone and its region.
 *
 * @param name the unique name, as the node settings and the cloud use it
 * @param region the name of the region that the zone belongs to
 */
public record Zone(@StringPattern(StringPattern.NAME) String name, @StringPattern(StringPattern.NAME) String region) {
}
