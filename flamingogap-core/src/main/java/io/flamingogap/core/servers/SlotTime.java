package io.flamingogap.core.servers;

/**
 * Time for which a request occupies a slot of a server of usual speed, as a moving
 * average over the servers of a service.
 * <p>
 * Not thread-safe.
 */
public final class SlotTime {

	private static final double ASSUMED_MILLIS = 300;

	/** Observations that the assumed time counts as. */
	private static final double ASSUMED_WEIGHT = 0.5;

	/** Observations after which the average follows slowly only. */
	private static final double MAX_WEIGHT = 50;

	/** Longer times count as this multiple of the average. */
	private static final double MAX_OVERRUN = 5;

	private double millis = ASSUMED_MILLIS;

	private double weight = ASSUMED_WEIGHT;

	/**
	 * Record a request that has ended.
	 * @param occupiedMillis the time for which it occupied a slot, in milliseconds
	 */
	public void record(double occupiedMillis) {
		double limited = Math.max(1, Math.min(occupiedMillis, this.millis * MAX_OVERRUN));
		this.weight = Math.min(MAX_WEIGHT, this.weight + 1);
		this.millis += (limited - this.millis) / this.weight;
	}

	/**
	 * Return the average.
	 * @return the time in milliseconds
	 */
	public double millis() {
		return this.millis;
	}

}
