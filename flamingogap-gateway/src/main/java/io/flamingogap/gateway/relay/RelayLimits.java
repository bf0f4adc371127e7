package io.flamingogap.gateway.relay;

import io.flamingogap.core.quota.QuotaTolerance;

/**
 * Limits of the request path.
 *
 * @param retryRatio the number of retries allowed per request at a service, over all
 * nodes
 * @param extraRetriesPerWindow the number of retries allowed per window in addition to
 * the ratio, over all nodes
 * @param retryWindowMillis the length of the window for counting retries; at least 1
 * @param quotaTolerance by how much a quota may be exceeded, over all nodes
 * @param maxBufferedBytes the maximum number of bytes that the node buffers for requests
 * and responses; at least 1. Only the bodies of open requests are counted against it
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
