package io.flamingogap.core.servers;

/**
 * Bound on the time for which a request may be expected to wait. A queue that makes all
 * of its requests late together serves nobody in time, so the request that comes last is
 * refused before it has to wait longer than the geometric mean of its goal and its time
 * budget. Less urgent requests leave the queue to the more urgent ones in proportion to
 * what those ask for.
 *
 * @param goalMillis the time to the first token within which an answer counts in full; 0
 * if there is none
 * @param elapsedMillis the time since the request came
 * @param remainingMillis the time left until the caller needs no answer any more
 */
public record WaitBound(long goalMillis, long elapsedMillis, long remainingMillis) {

	private static final double EXPONENT = 0.5;

	/** Part of the exponent that more urgent requests take if they are almost all. */
	private static final double URGENT_EXPONENT = 0.25;

	/**
	 * Return whether a request is to be refused because of the wait. A request that the
	 * servers would not make wait is never refused.
	 * @param delay the delay that is expected at the best server
	 * @param errorRatio the ratio by which predictions are corrected
	 * @param shareMoreUrgent the share of the requests that are more urgent
	 * @return {@code true} if the time budget or the bound would be exceeded
	 */
	public boolean isExceeded(ExpectedDelay delay, double errorRatio, double shareMoreUrgent) {
		double expectedMillis = delay.firstTokenMillis() * errorRatio;
		return delay.waitMillis() > delay.firstTokenMillis() / 2 && (expectedMillis > this.remainingMillis
				|| this.elapsedMillis + expectedMillis > limitMillis(shareMoreUrgent));
	}

	/**
	 * Return the bound.
	 * @param shareMoreUrgent the share of the requests that are more urgent
	 * @return the longest time to the first token that is accepted, in milliseconds
	 */
	public double limitMillis(double shareMoreUrgent) {
		double budgetMillis = this.elapsedMillis + this.remainingMillis;
		if (this.goalMillis <= 0 || this.goalMillis >= budgetMillis) {
			return budgetMillis;
		}
		return this.goalMillis * Math.pow(budgetMillis / this.goalMillis, EXPONENT - URGENT_EXPONENT * shareMoreUrgent);
	}

}
