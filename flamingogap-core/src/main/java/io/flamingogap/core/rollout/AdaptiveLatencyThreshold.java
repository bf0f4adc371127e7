package io.flamingogap.core.rollout;

/**
 * Estimate of the latency that one in ten requests of the current version exceeds,
 * updated with each request. Requests of both versions are compared with it, so that a
 * change in load affects both versions.
 * <p>
 * Not thread-safe.
 */
public final class AdaptiveLatencyThreshold {

	/** Share of the current version's requests that exceed the threshold. */
	private static final double SLOW_SHARE = 0.1;

	/** Step size of the change by one request, as a fraction of the threshold. */
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
	 * Adjust the threshold after a request of the current version.
	 * @param latencyMillis the latency of the request
	 */
	public void update(long latencyMillis) {
		double step = this.thresholdMillis * STEP_FRACTION;
		this.thresholdMillis += isSlow(latencyMillis) ? step * (1 - SLOW_SHARE) : -step * SLOW_SHARE;
		this.thresholdMillis = Math.max(MIN_MILLIS, this.thresholdMillis);
	}

}
