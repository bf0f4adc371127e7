package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.Default;
import io.flamingogap.core.toml.Range;
import io.flamingogap.core.toml.StringPattern;

/**
 * A client account.
 *
 * @param name the account's name
 * @param keyDigest the SHA-256 digest of the account's bearer key
 * @param priority 0 for the most urgent work, up to 9
 * @param maxOpenRequests how many requests the account may have open at one node
 */
public record Account(@StringPattern(StringPattern.NAME) String name,
		@StringPattern(StringPattern.DIGEST) String keyDigest, @Default("5") @Range(min = 0, max = 9) int priority,
		@Default("200") @Range(min = 1, max = 10_000) int maxOpenRequests) {
}
