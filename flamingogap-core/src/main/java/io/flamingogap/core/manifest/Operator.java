package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.Form;

/**
 * A person or pipeline that may change the configuration.
 *
 * @param name the name shown in the audit trail
 * @param keyDigest the SHA-256 digest of the operator's bearer key
 */
public record Operator(@Form(Form.NAME) String name, @Form(Form.DIGEST) String keyDigest) {
}
