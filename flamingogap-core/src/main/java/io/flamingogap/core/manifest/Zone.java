package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.Form;

/**
 * An availability zone.
 *
 * @param name the name used by the settings and the cloud
 * @param region the region it belongs to
 */
public record Zone(@Form(Form.NAME) String name, @Form(Form.NAME) String region) {
}
