package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.StringPattern;

/**
 * A person or pipeline that may change the configuration.
 *
 * @param name the name shown in the audit trail
 * @param keyDigest the SHA-256 digest of the operator's bearer key
 */
public record Operator(@StringPattern(StringPattern.NAME) String name,
		@StringPattern(StringPattern.DIGEST) String keyDigest) {
}
