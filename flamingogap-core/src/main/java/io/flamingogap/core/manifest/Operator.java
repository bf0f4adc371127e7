package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.StringPattern;

/**
 * Person or automated pipeline that is allowed to change the configuration.
 *
 * @param name the unique name, which the audit trail shows
 * @param keyDigest the SHA-256 digest of the operator's bearer key
 */
public record Operator(@StringPattern(StringPattern.NAME) String name,
		@StringPattern(StringPattern.DIGEST) String keyDigest) {
}
