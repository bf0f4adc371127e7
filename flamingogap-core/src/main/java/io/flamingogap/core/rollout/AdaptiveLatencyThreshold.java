package io.flamingogap.core.rollout;

/**
 * Estimate of the latency that one in ten requests of the current version exceeds,
 * updated with each request. Requests of both versions are compared with it at the same
 * time, so that a change in load affects both.
 * <p>
 * Not safe for use by several threads.
 */
public final class AdaptiveLatencyThreshold {

	/** Share of the current version's requests that exceed the threshold. */
	private static final double SLOW_SHARE = 0.1;

	/** Fraction of the threshold by which one request changes it. */
	private static final double STEP_FRACTION = 0.05;

	private static final double MIN_MILLIS = 1.0;

	private double thresholdMillis;

	/**
	 * Create a threshold.
	 * @param startMillis the initial value in milliseconds, such as the latency target
	 */
	public AdaptiveLatencyThreshold(long startMillis) {
		this.thresholdMillis = Math.max(MIN_MILLIS, startMillis);
	}

	/**
	 * Return whether a request was slow.
	 * @param latencyMillis the latency of a request of either version
	 * @return {@code true} if it exceeded the threshold
	 */
	public boolean isSlow(long latencyMillis) {
		return latencyMillis > this.thresholdMillis;
	}

	/**
	 * Adjust the threshold by a request of the current version.
	 * @param latencyMillis the latency of the request
	 */
	public void update(long latencyMillis) {
		double step = this.thresholdMillis * STEP_FRACTION;
		this.thresholdMillis += isSlow(latencyMillis) ? step * (1 - SLOW_SHARE) : -step * SLOW_SHARE;
		this.thresholdMillis = Math.max(MIN_MILLIS, this.thresholdMillis);
	}

}
