package io.flamingogap.core.rollout;

/**
 * The latency that one in ten requests of the current version exceeds, followed request
 * by request. Both versions are held against it at the same time, so that a wave of load
 * moves both.
 * <p>
 * Not safe for use by several threads.
 */
public final class AdaptiveLatencyThreshold {

	/** The share of the current version's requests over the threshold. */
	private static final double SHARE_ABOVE = 0.1;

	/** The part of the threshold by which one request moves it. */
	private static final double STEP = 0.05;

	private static final double MIN_MILLIS = 1.0;

	private double thresholdMillis;

	/**
	 * Create a threshold.
	 * @param startMillis the latency target, to begin with
	 */
	public AdaptiveLatencyThreshold(long startMillis) {
		this.thresholdMillis = Math.max(MIN_MILLIS, startMillis);
	}

	/**
	 * Return whether a request was slow.
	 * @param latencyMillis how long it took
	 * @return {@code true} if it was over the threshold
	 */
	public boolean isSlow(long latencyMillis) {
		return latencyMillis > this.thresholdMillis;
	}

	/**
	 * Follow a request of the current version.
	 * @param latencyMillis how long it took
	 */
	public void update(long latencyMillis) {
		double step = this.thresholdMillis * STEP;
		this.thresholdMillis += isSlow(latencyMillis) ? step * (1 - SHARE_ABOVE) : -step * SHARE_ABOVE;
		this.thresholdMillis = Math.max(MIN_MILLIS, this.thresholdMillis);
	}

}
