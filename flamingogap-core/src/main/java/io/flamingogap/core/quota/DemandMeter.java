package io.flamingogap.core.quota;

/**
 * Moving average of the units per second that callers of an account request from this
 * node.
 * <p>
 * Not thread-safe.
 */
final class DemandMeter {

	/** Time constant of the average. It spans a few reports between nodes. */
	private static final double TIME_CONSTANT_MILLIS = 3_000;

	private double unitsPerSecond;

	private long updatedAtMillis;

	void add(long cost, long nowMillis) {
		decay(nowMillis);
		this.unitsPerSecond += cost * 1_000 / TIME_CONSTANT_MILLIS;
	}

	/**
	 * Continue from the average of the node's previous run, unless that of this run is
	 * higher.
	 * @param minUnitsPerSecond the average of the previous run
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	void raiseTo(double minUnitsPerSecond, long nowMillis) {
		decay(nowMillis);
		this.unitsPerSecond = Math.max(this.unitsPerSecond, minUnitsPerSecond);
	}

	double unitsPerSecond(long nowMillis) {
		decay(nowMillis);
		return this.unitsPerSecond;
	}

	private void decay(long nowMillis) {
		this.unitsPerSecond *= Math.exp(-Math.max(0, nowMillis - this.updatedAtMillis) / TIME_CONSTANT_MILLIS);
		this.updatedAtMillis = nowMillis;
	}

}
