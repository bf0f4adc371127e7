package io.flamingogap.core.servers;

/**
 * Pause that a run of a server asked for. It gets nothing until the end of the pause;
 * after that, work returns gradually.
 *
 * @param untilMillis the end of the pause on the monotonic clock, in milliseconds
 */
record ServerPause(long untilMillis) {

	/** No pause. */
	static final ServerPause NONE = new ServerPause(Long.MIN_VALUE / 2);

	/** How long work returns after the end. */
	private static final long RETURN_MILLIS = 2_000;

	/** Delay added for the server at the end of the pause; decreases to 0. */
	private static final double RETURN_COST_MILLIS = 400;

	boolean isActive(long nowMillis) {
		return nowMillis < this.untilMillis;
	}

	/**
	 * Return the delay to add for the server, so that other servers are preferred at
	 * first.
	 * @param nowMillis the current time on the monotonic clock, in milliseconds
	 * @return the delay in milliseconds; 0 some time after the end
	 */
	double returnCostMillis(long nowMillis) {
		long leftMillis = this.untilMillis + RETURN_MILLIS - nowMillis;
		return RETURN_COST_MILLIS * Math.max(0, Math.min(RETURN_MILLIS, leftMillis)) / RETURN_MILLIS;
	}

}
