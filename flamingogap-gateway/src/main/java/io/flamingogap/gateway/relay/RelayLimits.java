package io.flamingogap.gateway.relay;

import io.flamingogap.core.quota.QuotaTolerance;

/**
 * Bounds of the request path.
 *
 * @param retryShare the retries at a service for each request, over all nodes
 * @param retryAllowance the retries in a window that are allowed besides, over all nodes
 * @param retryWindowMillis the length of the window
 * @param quotaTolerance by how much a quota may be exceeded, over all nodes
 * @param maxBufferedBytes the most bytes of requests and answers that are held
 */
public record RelayLimits(double retryShare, double retryAllowance, long retryWindowMillis,
		QuotaTolerance quotaTolerance, long maxBufferedBytes) {

	public RelayLimits {
		if (retryWindowMillis < 1 || maxBufferedBytes < 1) {
			throw new IllegalArgumentException("retryWindowMillis and maxBufferedBytes must be positive but were "
					+ retryWindowMillis + " and " + maxBufferedBytes);
		}
	}

}
