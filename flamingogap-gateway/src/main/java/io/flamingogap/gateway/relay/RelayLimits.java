package io.flamingogap.gateway.relay;

import io.flamingogap.core.quota.QuotaTolerance;

/**
 * Limits on the retries, quota overruns and buffered bytes of relayed requests.
 *
 * @param retryRatio the number of retries allowed per request at a service, over all
 * nodes
 * @param extraRetriesPerWindow the number of retries allowed per window in addition to
 * the ratio, over all nodes
 * @param retryWindowMillis the length of the window for counting retries, in
 * milliseconds; at least 20. Values from 1 to 19 are rejected only by
 * {@link io.flamingogap.core.limits.WindowedRetryBudget}
 * @param quotaTolerance by how much a quota may be exceeded, over all nodes
 * @param maxBufferedBytes the maximum total size of the bodies of open requests on this
 * node, in bytes; at least 1. Responses are not counted
 */
public record RelayLimits(double retryRatio, double extraRetriesPerWindow, long retryWindowMillis,
		QuotaTolerance quotaTolerance, long maxBufferedBytes) {

	public RelayLimits {
		if (retryWindowMillis < 1 || maxBufferedBytes < 1) {
			throw new IllegalArgumentException("retryWindowMillis and maxBufferedBytes must be positive but were "
					+ retryWindowMillis + " and " + maxBufferedBytes);
		}
	}

}
