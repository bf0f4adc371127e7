package io.flamingogap.core.manifest;

import io.flamingogap.core.toml.Default;
import io.flamingogap.core.toml.Range;
import io.flamingogap.core.toml.StringPattern;

/**
 * Client account with its key and limits.
 *
 * @param name the unique name
 * @param keyDigest the SHA-256 digest of the account's bearer key
 * @param priority the priority of its requests, from 0 (most urgent) to 9
 * @param maxOpenRequests the maximum number of requests that the account may have open at
 * one entry node
 */
public record Account(@StringPattern(StringPattern.NAME) String name,
		@StringPattern(StringPattern.DIGEST) String keyDigest, @Default("5") @Range(min = 0, max = 9) int priority,
		@Default("200") @Range(min = 1, max = 10_000) int maxOpenRequests) {
}
