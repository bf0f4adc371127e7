package io.flamingogap.core.servers;

/**
 * Health of a backend server, estimated from the outcomes of callers' requests.
 * <p>
 * Not thread-safe.
 */
public final class ServerHealth {

	/** Weight of the newest outcome in the moving average of failures. */
	private static final double NEWEST_WEIGHT = 0.25;

	/** How long a server is avoided after a connection to it could not be opened. */
	private static final long AVOID_MILLIS = 1_000;

	/** Half-life of the moving average while there are no new outcomes. */
	private static final double FAILURE_HALF_LIFE_MILLIS = 3_000;

	private double failureShare;

	private long updatedAtMillis;

	private long avoidUntilMillis = Long.MIN_VALUE;

	/**
	 * Record a request that the server answered correctly.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordSuccess(long nowMillis) {
		update(0, nowMillis);
		this.avoidUntilMillis = Long.MIN_VALUE;
	}

	/**
	 * Record a request that the server failed, rejected, broke off or left unanswered.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordFailure(long nowMillis) {
		update(1, nowMillis);
	}

	/**
	 * Record that no connection to the server could be opened.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void recordUnreachable(long nowMillis) {
		update(1, nowMillis);
		this.avoidUntilMillis = nowMillis + AVOID_MILLIS;
	}

	private void update(double outcome, long nowMillis) {
		this.failureShare = failureShare(nowMillis) * (1 - NEWEST_WEIGHT) + outcome * NEWEST_WEIGHT;
		this.updatedAtMillis = nowMillis;
	}

	/**
	 * Return the share of failed requests, as a moving average that also decays with
	 * time.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return a share from 0 to 1
	 */
	public double failureShare(long nowMillis) {
		double halfLives = (nowMillis - this.updatedAtMillis) / FAILURE_HALF_LIFE_MILLIS;
		return this.failureShare * Math.pow(0.5, halfLives);
	}

	/**
	 * Return whether a connection to the server could not be opened a short time ago and
	 * no request has succeeded since.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if other servers are to be preferred
	 */
	public boolean isAvoided(long nowMillis) {
		return nowMillis < this.avoidUntilMillis;
	}

}
