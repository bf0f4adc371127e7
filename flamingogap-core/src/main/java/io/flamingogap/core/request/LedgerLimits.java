package io.flamingogap.core.request;

/**
 * Size and time limits of a {@link RequestLedger}.
 *
 * @param maxEntries the maximum number of entries
 * @param maxBytes the maximum total size of stored request and answer bodies in bytes
 * @param firstUseMillis the time after the issue of a key prefix within which new
 * requests may use it, in milliseconds
 * @param retentionMillis the time after the issue of a key prefix for which the outcomes
 * of its keys are kept, in milliseconds; longer than {@code firstUseMillis}
 * @param maxClockSkewMillis the maximum by which the clock of an issuing node may be
 * ahead, in milliseconds
 */
public record LedgerLimits(int maxEntries, long maxBytes, long firstUseMillis, long retentionMillis,
		long maxClockSkewMillis) {

	public LedgerLimits {
		if (maxEntries < 1 || maxBytes < 1) {
			throw new IllegalArgumentException(
					"maxEntries and maxBytes must be positive but were " + maxEntries + " and " + maxBytes);
		}
		if (retentionMillis <= firstUseMillis) {
			throw new IllegalArgumentException("retentionMillis must be longer than firstUseMillis but they were "
					+ retentionMillis + " and " + firstUseMillis);
		}
	}

}
