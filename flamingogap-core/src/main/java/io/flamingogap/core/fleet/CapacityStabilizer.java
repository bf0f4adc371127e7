package io.flamingogap.core.fleet;

/**
 * Computes the target number of servers of a service from its demand. The target rises at
 * once and falls by one server at a time, each time after a stabilization period.
 * <p>
 * Not thread-safe.
 */
public final class CapacityStabilizer {

	/**
	 * Target before the demand is known, enough for the load of a busy day.
	 */
	private static final int INITIAL_TARGET = 10;

	/**
	 * Time for which fewer servers must suffice before the target is lowered by one.
	 */
	private static final long SCALE_DOWN_AFTER_MILLIS = 12_000;

	private int target = INITIAL_TARGET;

	private boolean hadRequests;

	private boolean updated;

	private long lowerSinceMillis;

	/**
	 * Create a stabilizer at the initial target.
	 * @param knownUnused whether it is known that the service has never had a request
	 */
	public CapacityStabilizer(boolean knownUnused) {
		this.hadRequests = !knownUnused;
	}

	/**
	 * Update the target from the current demand.
	 * @param promptTokensPerSecond the rate at which prompt tokens arrive
	 * @param openRequests the number of open requests
	 * @param slots the slots of one server
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the number of servers that the service should have
	 */
	public DesiredCapacity update(double promptTokensPerSecond, double openRequests, int slots, long nowMillis) {
		this.hadRequests |= promptTokensPerSecond > 0 || openRequests > 0;
		int needed = CapacityPlanner.estimateServers(promptTokensPerSecond, openRequests, slots);
		if (!this.updated || needed >= this.target) {
			this.updated = true;
			this.target = Math.max(needed, this.target);
			this.lowerSinceMillis = nowMillis;
		}
		else if (nowMillis - this.lowerSinceMillis > SCALE_DOWN_AFTER_MILLIS) {
			this.target--;
			this.lowerSinceMillis = nowMillis;
		}
		return new DesiredCapacity(this.target, this.hadRequests ? this.target : 0);
	}

}
