package io.flamingogap.core.quota;

/**
 * The units that callers of an account ask of this node for each second, as a moving
 * average.
 * <p>
 * Not safe for use by several threads.
 */
final class DemandMeter {

	/** Time constant of the average; a few reports between nodes. */
	private static final double AVERAGE_MILLIS = 3_000;

	private double perSecond;

	private long updatedAtMillis;

	void add(long cost, long nowMillis) {
		decay(nowMillis);
		this.perSecond += cost * 1_000 / AVERAGE_MILLIS;
	}

	/**
	 * Go on from an average that was kept elsewhere, unless more was asked since.
	 * @param unitsPerSecond the average
	 * @param nowMillis the present time
	 */
	void resume(double unitsPerSecond, long nowMillis) {
		decay(nowMillis);
		this.perSecond = Math.max(this.perSecond, unitsPerSecond);
	}

	double perSecond(long nowMillis) {
		decay(nowMillis);
		return this.perSecond;
	}

	private void decay(long nowMillis) {
		this.perSecond *= Math.exp(-Math.max(0, nowMillis - this.updatedAtMillis) / AVERAGE_MILLIS);
		this.updatedAtMillis = nowMillis;
	}

}
