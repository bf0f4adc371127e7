package io.flamingogap.core.fleet;

/**
 * How many servers a service needs over time: rises at once and falls late.
 * <p>
 * Not safe for use by several threads.
 */
public final class CapacityStabilizer {

	/**
	 * What a service starts with, before its demand is known: the load of a busy day.
	 */
	private static final int INITIAL_SERVERS = 10;

	/** A smaller fleet must be enough for so long before a server is given back. */
	private static final long SHRINK_AFTER_MILLIS = 12_000;

	private int planned = INITIAL_SERVERS;

	private boolean asked;

	private boolean started;

	private long lowerSinceMillis;

	/**
	 * Create a trend without figures.
	 * @param idle whether it is known that nobody asks yet
	 */
	public CapacityStabilizer(boolean idle) {
		this.asked = !idle;
	}

	/**
	 * Take the demand at a moment.
	 * @param promptTokensPerSecond the prompt tokens that arrive
	 * @param openRequests the requests that are open
	 * @param slots the slots of an engine
	 * @param nowMillis the present time
	 * @return the need
	 */
	public DesiredCapacity update(double promptTokensPerSecond, double openRequests, int slots, long nowMillis) {
		this.asked |= promptTokensPerSecond > 0 || openRequests > 0;
		int wanted = CapacityPlanner.need(promptTokensPerSecond, openRequests, slots);
		if (!this.started || wanted >= this.planned) {
			this.started = true;
			this.planned = Math.max(wanted, this.planned);
			this.lowerSinceMillis = nowMillis;
		}
		else if (nowMillis - this.lowerSinceMillis > SHRINK_AFTER_MILLIS) {
			this.planned--;
			this.lowerSinceMillis = nowMillis;
		}
		return new DesiredCapacity(this.planned, this.asked ? this.planned : 0);
	}

}
