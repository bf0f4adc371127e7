package io.flamingogap.core.config;

import java.util.Objects;

/**
 * A change that an operator published on the configuration stream.
 *
 * @param id drawn by the operator's client, the same for each retry of one change
 * @param baseOffset the offset of the configuration that the change was made against; 0
 * for none
 * @param operator who published it
 * @param digest the SHA-256 digest of the manifest
 * @param manifest the manifest as TOML
 */
public record ConfigRecord(String id, long baseOffset, String operator, String digest, String manifest) {

	public ConfigRecord {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(operator, "operator must not be null");
		Objects.requireNonNull(digest, "digest must not be null");
		Objects.requireNonNull(manifest, "manifest must not be null");
		if (baseOffset < 0) {
			throw new IllegalArgumentException("baseOffset must not be negative but was " + baseOffset);
		}
	}

}
