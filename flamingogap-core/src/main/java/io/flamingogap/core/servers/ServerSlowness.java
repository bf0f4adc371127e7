package io.flamingogap.core.servers;

/**
 * How much longer work takes at a server than is usual in its service. It combines what
 * requests took with the slowness that the server reports of its machine at the moment.
 * The server's reports vary from one answer to the next, so they are smoothed. Without
 * news, both return to the usual, so that a slow server is tried again.
 * <p>
 * Not thread-safe.
 */
public final class ServerSlowness {

	private static final double MIN_FACTOR = 0.1;

	private static final double MAX_FACTOR = 8;

	/** Time by which observations differ for other reasons than the server. */
	private static final double JITTER_MILLIS = 3;

	/** Observations that the usual speed counts as. */
	private static final double USUAL_WEIGHT = 2;

	/** Observations after which each new one replaces as much of the earlier ones. */
	private static final double MAX_WEIGHT = 20;

	/** Time constant with which observations lose weight. */
	private static final double OBSERVATION_DECAY_MILLIS = 8_000;

	/** Time constant over which reports are smoothed while they are frequent. */
	private static final double REPORT_SMOOTHING_MILLIS = 1_000;

	/** Largest weight of a single report. */
	private static final double MAX_REPORT_WEIGHT = 0.25;

	/** Time constant with which the smoothed report returns to the usual. */
	private static final double REPORT_DECAY_MILLIS = 3_000;

	private double ratioSum;

	private double observations;

	private long observedAtMillis;

	private double reportedExcess;

	private long reportedAtMillis;

	/**
	 * Record how long work took.
	 * @param expectedMillis the time that it takes at a server of usual speed
	 * @param observedMillis the time that it took
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordObservation(double expectedMillis, double observedMillis, long nowMillis) {
		if (!(expectedMillis > 0) || !(observedMillis >= 0)) {
			return;
		}
		double kept = decay(nowMillis - this.observedAtMillis, OBSERVATION_DECAY_MILLIS);
		double usualMillis = expectedMillis * reported(nowMillis);
		double ratio = limit((observedMillis + JITTER_MILLIS) / (usualMillis + JITTER_MILLIS));
		kept *= Math.min(1, (MAX_WEIGHT - 1) / Math.max(1, this.observations * kept));
		this.ratioSum = this.ratioSum * kept + ratio;
		this.observations = this.observations * kept + 1;
		this.observedAtMillis = nowMillis;
	}

	/**
	 * Record the slowness that the server reported.
	 * @param factor the time that work takes on the machine at the moment as a multiple
	 * of the usual one
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordReport(double factor, long nowMillis) {
		if (!(factor > 0)) {
			return;
		}
		double kept = reported(nowMillis) - 1;
		double weight = Math.min(MAX_REPORT_WEIGHT,
				1 - decay(nowMillis - this.reportedAtMillis, REPORT_SMOOTHING_MILLIS));
		this.reportedExcess = kept + weight * (limit(factor) - 1 - kept);
		this.reportedAtMillis = nowMillis;
	}

	/**
	 * Return the expected slowness.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the time that work takes as a multiple of the service's usual time
	 */
	public double factor(long nowMillis) {
		return limit(observed(nowMillis) * reported(nowMillis));
	}

	private double observed(long nowMillis) {
		double kept = decay(nowMillis - this.observedAtMillis, OBSERVATION_DECAY_MILLIS);
		return (this.ratioSum * kept + USUAL_WEIGHT) / (this.observations * kept + USUAL_WEIGHT);
	}

	private double reported(long nowMillis) {
		return 1 + this.reportedExcess * decay(nowMillis - this.reportedAtMillis, REPORT_DECAY_MILLIS);
	}

	private static double decay(long elapsedMillis, double timeConstantMillis) {
		return Math.exp(-Math.max(0, elapsedMillis) / timeConstantMillis);
	}

	private static double limit(double factor) {
		return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
	}

}
