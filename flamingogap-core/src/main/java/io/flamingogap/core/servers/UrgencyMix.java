package io.flamingogap.core.servers;

/**
 * How many of the requests for a service are of each rank, as asked of this node a short
 * time ago. Requests count alike, whatever their size and whether they were served.
 * <p>
 * Not thread-safe.
 */
public final class UrgencyMix {

	private static final int RANKS = 10;

	/** Time constant with which requests lose weight. */
	private static final double DECAY_MILLIS = 2_000;

	/**
	 * Requests without a rank that are assumed, so that a few requests reserve little.
	 */
	private static final double ASSUMED_REQUESTS = 4;

	private final double[] requests = new double[RANKS];

	private double sum;

	private long updatedAtMillis;

	/**
	 * Record that a caller asked for a request.
	 * @param urgency the rank of the request; 0 is the most urgent
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void record(int urgency, long nowMillis) {
		double kept = kept(nowMillis);
		for (int rank = 0; rank < RANKS; rank++) {
			this.requests[rank] *= kept;
		}
		this.requests[indexOf(urgency)]++;
		this.sum = this.sum * kept + 1;
		this.updatedAtMillis = nowMillis;
	}

	/**
	 * Return the share of the requests that are more urgent than a rank.
	 * @param urgency the rank
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return a number from 0 to less than 1
	 */
	public double shareMoreUrgentThan(int urgency, long nowMillis) {
		double moreUrgent = 0;
		for (int rank = 0; rank < indexOf(urgency); rank++) {
			moreUrgent += this.requests[rank];
		}
		double kept = kept(nowMillis);
		return moreUrgent * kept / (this.sum * kept + ASSUMED_REQUESTS);
	}

	/**
	 * Return the share of the requests that are less urgent than a rank.
	 * @param urgency the rank
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return a number from 0 to less than 1
	 */
	public double shareLessUrgentThan(int urgency, long nowMillis) {
		double lessUrgent = 0;
		for (int rank = indexOf(urgency) + 1; rank < RANKS; rank++) {
			lessUrgent += this.requests[rank];
		}
		double kept = kept(nowMillis);
		return lessUrgent * kept / (this.sum * kept + ASSUMED_REQUESTS);
	}

	private double kept(long nowMillis) {
		return Math.exp(-Math.max(0, nowMillis - this.updatedAtMillis) / DECAY_MILLIS);
	}

	private static int indexOf(int urgency) {
		return Math.max(0, Math.min(RANKS - 1, urgency));
	}

}
