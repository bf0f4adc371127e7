package io.flamingogap.core.servers;

/**
 * Ratio of the times to the first token to their predictions, as a moving average. It
 * corrects predictions that are too long or too short throughout.
 * <p>
 * Not thread-safe.
 */
public final class PredictionError {

	private static final double NEWEST_WEIGHT = 0.05;

	private static final double MIN_RATIO = 0.5;

	private static final double MAX_RATIO = 1.5;

	private double ratio = 1;

	/**
	 * Record a prediction and what followed.
	 * @param predictedMillis the predicted time; ignored unless positive
	 * @param observedMillis the time that it took
	 */
	public void record(double predictedMillis, double observedMillis) {
		if (predictedMillis > 0 && observedMillis >= 0) {
			this.ratio += NEWEST_WEIGHT * (limit(observedMillis / predictedMillis) - this.ratio);
		}
	}

	/**
	 * Return the average ratio.
	 * @return a number near 1, by which predictions are to be multiplied
	 */
	public double ratio() {
		return this.ratio;
	}

	private static double limit(double value) {
		return Math.max(MIN_RATIO, Math.min(MAX_RATIO, value));
	}

}
