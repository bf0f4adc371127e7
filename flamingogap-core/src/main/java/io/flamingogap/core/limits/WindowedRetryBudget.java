package io.flamingogap.core.limits;

import java.util.Arrays;

/**
 * Limits the retries of one service to a share of this node's requests in a sliding
 * window, plus this node's part of an allowance that all nodes share. As every node
 * counts only its own requests, the sum over all nodes stays within the limit without
 * communication.
 * <p>
 * Not thread-safe.
 */
public final class WindowedRetryBudget {

	/** Number of buckets that the window is divided into. */
	private static final int BUCKETS = 20;

	private final double retryShare;

	private final long bucketMillis;

	private final long[] requests = new long[BUCKETS];

	private final long[] retries = new long[BUCKETS];

	private long newestBucket;

	/**
	 * Create a budget without requests.
	 * @param retryShare the number of retries allowed per request
	 * @param windowMillis the length of the window in milliseconds
	 */
	public WindowedRetryBudget(double retryShare, long windowMillis) {
		if (!(retryShare >= 0) || windowMillis < BUCKETS) {
			throw new IllegalArgumentException("retryShare must not be negative and windowMillis at least " + BUCKETS
					+ " but they were " + retryShare + " and " + windowMillis);
		}
		this.retryShare = retryShare;
		this.bucketMillis = windowMillis / BUCKETS;
	}

	/**
	 * Record a request of a caller, which earns a share of a retry.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordRequest(long nowMillis) {
		this.requests[advance(nowMillis)]++;
	}

	/**
	 * Spend a retry if the budget allows one.
	 * @param nodeAllowance this node's part of the allowance: the number of retries in
	 * the window on top of the share, which may be fractional
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if the request may be retried
	 */
	public boolean trySpend(double nodeAllowance, long nowMillis) {
		int bucket = advance(nowMillis);
		long spent = Arrays.stream(this.retries).sum();
		if (spent + 1 > this.retryShare * Arrays.stream(this.requests).sum() + nodeAllowance) {
			return false;
		}
		this.retries[bucket]++;
		return true;
	}

	private int advance(long nowMillis) {
		long bucket = nowMillis / this.bucketMillis;
		long first = Math.max(this.newestBucket + 1, bucket - BUCKETS + 1);
		for (long cleared = first; cleared <= bucket; cleared++) {
			this.requests[(int) (cleared % BUCKETS)] = 0;
			this.retries[(int) (cleared % BUCKETS)] = 0;
		}
		this.newestBucket = Math.max(this.newestBucket, bucket);
		return (int) (this.newestBucket % BUCKETS);
	}

}
