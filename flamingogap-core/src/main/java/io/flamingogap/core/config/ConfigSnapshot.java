package io.flamingogap.core.config;

import java.util.List;
import java.util.Objects;

import io.flamingogap.core.text.Digests;

/**
 * The whole configuration as of an offset, for nodes that start after the log has dropped
 * the records before it. Publishing one twice does no harm.
 *
 * @param asOfOffset the offset of the last record that it covers
 * @param acceptedOffset the offset of the manifest in force; 0 for none
 * @param digest the SHA-256 digest of the manifest
 * @param manifest the manifest as TOML
 * @param verdicts the latest verdicts, oldest first
 */
public record ConfigSnapshot(long asOfOffset, long acceptedOffset, String digest, String manifest,
		List<ConfigVerdict> verdicts) {

	public ConfigSnapshot {
		Objects.requireNonNull(digest, "digest must not be null");
		Objects.requireNonNull(manifest, "manifest must not be null");
		verdicts = List.copyOf(verdicts);
		if (acceptedOffset > asOfOffset) {
			throw new IllegalArgumentException("acceptedOffset must not be after asOfOffset");
		}
	}

	/**
	 * Return whether the manifest is the one that the snapshot was made of.
	 * @return {@code true} if the digest matches
	 */
	boolean isIntact() {
		return Digests.sha256(this.manifest).equals(this.digest);
	}

}
