package io.flamingogap.core.config;

import java.util.List;
import java.util.Objects;

import io.flamingogap.core.text.Digests;

/**
 * The complete configuration as of an offset. Nodes restore it if they start after the
 * log has dropped earlier records. Publishing a snapshot twice has no further effect.
 *
 * @param asOfOffset the offset of the last record that the snapshot covers
 * @param acceptedOffset the offset of the manifest in force; 0 for none
 * @param digest the SHA-256 digest of the manifest
 * @param manifest the manifest in force as a TOML document; empty for none
 * @param verdicts the newest verdicts, oldest first
 */
public record ConfigSnapshot(long asOfOffset, long acceptedOffset, String digest, String manifest,
		List<ConfigVerdict> verdicts) {

	public ConfigSnapshot {
		Objects.requireNonNull(digest, "digest must not be null");
		Objects.requireNonNull(manifest, "manifest must not be null");
		verdicts = List.copyOf(verdicts);
		if (acceptedOffset > asOfOffset) {
			throw new IllegalArgumentException("acceptedOffset must not be after asOfOffset but they were "
					+ acceptedOffset + " and " + asOfOffset);
		}
	}

	/**
	 * Return whether the manifest is unchanged since the snapshot was created.
	 * @return {@code true} if the manifest matches the digest
	 */
	boolean isIntact() {
		return Digests.sha256(this.manifest).equals(this.digest);
	}

}
