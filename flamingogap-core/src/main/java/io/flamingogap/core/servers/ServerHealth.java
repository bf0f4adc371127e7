package io.flamingogap.core.servers;

/**
 * How sound a backend server seems by the outcome of real requests.
 * <p>
 * Not safe for use by several threads.
 */
public final class ServerHealth {

	/** Weight of the newest outcome in the moving average of failures. */
	private static final double NEWEST_WEIGHT = 0.25;

	/** How long a server that could not be reached gets no requests. */
	private static final long UNREACHABLE_MILLIS = 1_000;

	/** The moving average loses half of its weight in this time without new outcomes. */
	private static final double FORGET_HALF_MILLIS = 3_000;

	private double failureShare;

	private long updatedAtMillis;

	private long avoidUntilMillis = Long.MIN_VALUE;

	/**
	 * Record a request that the server answered as it should.
	 * @param nowMillis the present time
	 */
	public void recordSuccess(long nowMillis) {
		update(0, nowMillis);
		this.avoidUntilMillis = Long.MIN_VALUE;
	}

	/**
	 * Record a request that the server failed, rejected, broke off or left unanswered.
	 * @param nowMillis the present time
	 */
	public void recordFailure(long nowMillis) {
		update(1, nowMillis);
	}

	/**
	 * Record that no connection to the server could be opened.
	 * @param nowMillis the present time
	 */
	public void recordUnreachable(long nowMillis) {
		update(1, nowMillis);
		this.avoidUntilMillis = nowMillis + UNREACHABLE_MILLIS;
	}

	private void update(double outcome, long nowMillis) {
		this.failureShare = failureShare(nowMillis) * (1 - NEWEST_WEIGHT) + outcome * NEWEST_WEIGHT;
		this.updatedAtMillis = nowMillis;
	}

	/**
	 * Return the moving average of failed requests.
	 * @param nowMillis the present time
	 * @return a share from 0 to 1
	 */
	public double failureShare(long nowMillis) {
		double halves = (nowMillis - this.updatedAtMillis) / FORGET_HALF_MILLIS;
		return this.failureShare * Math.pow(0.5, halves);
	}

	/**
	 * Return whether the server could not be reached a short time ago.
	 * @param nowMillis the present time
	 * @return {@code true} if it should get no requests while others can take them
	 */
	public boolean isAvoided(long nowMillis) {
		return nowMillis < this.avoidUntilMillis;
	}

}
