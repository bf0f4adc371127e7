package io.flamingogap.core.servers;

/**
 * Speed at which the engines of a service read prompts, learned from the times to the
 * first token of requests that did not have to wait. A line is fitted to the times by
 * least squares; its slope is the time for each token. Old observations lose weight, and
 * without any the assumed speed applies.
 * <p>
 * Not thread-safe.
 */
public final class PromptSpeed {

	private static final double ASSUMED_TOKENS_PER_MILLI = 60;

	/** Largest factor by which the result differs from the assumed speed. */
	private static final double MAX_DEVIATION = 6;

	/** Observations that the assumed speed counts as, at no tokens and at many. */
	private static final double ASSUMED_WEIGHT = 4;

	private static final double ASSUMED_TOKENS = 4_000;

	private static final double ASSUMED_OVERHEAD_MILLIS = 15;

	private static final double MAX_OVERRUN = 4;

	private static final double TIME_CONSTANT_MILLIS = 20_000;

	private double weight;

	private double tokens;

	private double millis;

	private double tokensSquared;

	private double tokensTimesMillis;

	private long updatedAtMillis;

	/**
	 * Record a request whose prompt was read at once. One that took several times as long
	 * as expected had to wait, and is left out.
	 * @param promptTokens the tokens that were read
	 * @param firstTokenMillis the time from the dispatch to the first token
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void record(long promptTokens, long firstTokenMillis, long nowMillis) {
		double expectedMillis = ASSUMED_OVERHEAD_MILLIS + promptTokens / tokensPerMilli(nowMillis);
		if (firstTokenMillis > expectedMillis * MAX_OVERRUN) {
			return;
		}
		double kept = Math.exp(-Math.max(0, nowMillis - this.updatedAtMillis) / TIME_CONSTANT_MILLIS);
		this.updatedAtMillis = nowMillis;
		this.weight = this.weight * kept + 1;
		this.tokens = this.tokens * kept + promptTokens;
		this.millis = this.millis * kept + firstTokenMillis;
		this.tokensSquared = this.tokensSquared * kept + (double) promptTokens * promptTokens;
		this.tokensTimesMillis = this.tokensTimesMillis * kept + (double) promptTokens * firstTokenMillis;
	}

	/**
	 * Return the speed.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return tokens per millisecond
	 */
	public double tokensPerMilli(long nowMillis) {
		return 1 / fit(nowMillis).millisPerToken;
	}

	/**
	 * Return the time to the first token of a prompt without tokens.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the time in milliseconds
	 */
	public double overheadMillis(long nowMillis) {
		return fit(nowMillis).overheadMillis;
	}

	private Fit fit(long nowMillis) {
		double kept = Math.exp(-Math.max(0, nowMillis - this.updatedAtMillis) / TIME_CONSTANT_MILLIS);
		double assumedMillis = ASSUMED_OVERHEAD_MILLIS + ASSUMED_TOKENS / ASSUMED_TOKENS_PER_MILLI;
		double sumWeight = this.weight * kept + 2 * ASSUMED_WEIGHT;
		double sumTokens = this.tokens * kept + ASSUMED_WEIGHT * ASSUMED_TOKENS;
		double sumMillis = this.millis * kept + ASSUMED_WEIGHT * (ASSUMED_OVERHEAD_MILLIS + assumedMillis);
		double sumSquares = this.tokensSquared * kept + ASSUMED_WEIGHT * ASSUMED_TOKENS * ASSUMED_TOKENS;
		double sumProducts = this.tokensTimesMillis * kept + ASSUMED_WEIGHT * ASSUMED_TOKENS * assumedMillis;
		double slope = (sumWeight * sumProducts - sumTokens * sumMillis)
				/ (sumWeight * sumSquares - sumTokens * sumTokens);
		double minSlope = 1 / (ASSUMED_TOKENS_PER_MILLI * MAX_DEVIATION);
		double maxSlope = MAX_DEVIATION / ASSUMED_TOKENS_PER_MILLI;
		double limited = Math.max(minSlope, Math.min(maxSlope, slope));
		return new Fit(limited, Math.max(0, (sumMillis - limited * sumTokens) / sumWeight));
	}

	private record Fit(double millisPerToken, double overheadMillis) {
	}

}
