package io.flamingogap.core.request;

/**
 * Limits of a ledger.
 *
 * @param maxEntries the most keys that are kept
 * @param maxBytes the most bytes of kept requests and answers
 * @param firstUseMillis how long after its issue a prefix may begin new requests
 * @param retentionMillis how long after the issue of its prefix the outcome of a key is
 * kept
 * @param maxClockSkewMillis how far ahead the clock of an issuing node may be
 */
public record LedgerLimits(int maxEntries, long maxBytes, long firstUseMillis, long retentionMillis,
		long maxClockSkewMillis) {

	public LedgerLimits {
		if (maxEntries < 1 || maxBytes < 1) {
			throw new IllegalArgumentException("maxEntries and maxBytes must be positive");
		}
		if (retentionMillis <= firstUseMillis) {
			throw new IllegalArgumentException("retentionMillis must be longer than firstUseMillis");
		}
	}

}
