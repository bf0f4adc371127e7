package io.flamingogap.core.limits;

import java.util.Arrays;

/**
 * Bounds the retries at one service to a share of this node's own requests in a sliding
 * window, plus this node's part of an allowance that all nodes share. Every node counts
 * its own requests, so the sum over the nodes keeps the bound without an exchange.
 * <p>
 * Not safe for use by several threads.
 */
public final class WindowedRetryBudget {

	/** Parts that the window is counted in. */
	private static final int PARTS = 20;

	private final double retryShare;

	private final long partMillis;

	private final long[] requests = new long[PARTS];

	private final long[] retries = new long[PARTS];

	private long newestPart;

	/**
	 * Create a window.
	 * @param retryShare the retries allowed for each request
	 * @param windowMillis the length of the window
	 */
	public WindowedRetryBudget(double retryShare, long windowMillis) {
		if (!(retryShare >= 0) || windowMillis < PARTS) {
			throw new IllegalArgumentException("retryShare must not be negative and windowMillis at least " + PARTS
					+ " but they were " + retryShare + " and " + windowMillis);
		}
		this.retryShare = retryShare;
		this.partMillis = windowMillis / PARTS;
	}

	/**
	 * Record a request of a caller.
	 * @param nowMillis the present time
	 */
	public void recordRequest(long nowMillis) {
		this.requests[advance(nowMillis)]++;
	}

	/**
	 * Spend a retry if the bound allows one.
	 * @param allowance the retries in the window that are allowed without requests
	 * @param nowMillis the present time
	 * @return {@code true} if the request may be sent once more
	 */
	public boolean trySpend(double allowance, long nowMillis) {
		int part = advance(nowMillis);
		long spent = Arrays.stream(this.retries).sum();
		if (spent + 1 > this.retryShare * Arrays.stream(this.requests).sum() + allowance) {
			return false;
		}
		this.retries[part]++;
		return true;
	}

	private int advance(long nowMillis) {
		long part = nowMillis / this.partMillis;
		long first = Math.max(this.newestPart + 1, part - PARTS + 1);
		for (long cleared = first; cleared <= part; cleared++) {
			this.requests[(int) (cleared % PARTS)] = 0;
			this.retries[(int) (cleared % PARTS)] = 0;
		}
		this.newestPart = Math.max(this.newestPart, part);
		return (int) (this.newestPart % PARTS);
	}

}
