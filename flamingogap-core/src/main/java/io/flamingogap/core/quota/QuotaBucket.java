package io.flamingogap.core.quota;

/**
 * One node's share of an account's quota: a token bucket that may go into debt for a
 * request larger than half of the share, so that such requests still pass.
 * <p>
 * Not safe for use by several threads.
 */
final class QuotaBucket {

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * The part of the capacity that suffices for a request of any size. The debts of all
	 * nodes together must stay within the tolerance of the quota.
	 */
	private static final double ENOUGH_PART = 0.5;

	private double level;

	private double ratePerSecond;

	private double capacity;

	private long updatedAtMillis;

	QuotaBucket(double level, long nowMillis) {
		this.level = level;
		this.updatedAtMillis = nowMillis;
	}

	void refill(double newRatePerSecond, double newCapacity, long nowMillis) {
		this.ratePerSecond = newRatePerSecond;
		this.capacity = newCapacity;
		refillAsBefore(nowMillis);
	}

	/**
	 * Refill at the rate and up to the capacity of the last refill.
	 * @param nowMillis the present time
	 */
	void refillAsBefore(long nowMillis) {
		double gained = this.ratePerSecond * Math.max(0, nowMillis - this.updatedAtMillis) / MILLIS_PER_SECOND;
		this.level = Math.min(this.capacity, this.level + gained);
		this.updatedAtMillis = nowMillis;
	}

	boolean trySpend(long cost) {
		if (missing(cost) > 0) {
			return false;
		}
		this.level -= cost;
		return true;
	}

	double level() {
		return this.level;
	}

	void refund(long cost) {
		this.level += cost;
	}

	/**
	 * Return what is missing for a request.
	 * @param cost the units that it uses
	 * @return the units, 0 if it may pass
	 */
	long missing(long cost) {
		double enough = Math.min(cost, this.capacity * ENOUGH_PART);
		return (this.level > 0 && this.level >= enough) ? 0 : Math.max(1, (long) Math.ceil(enough - this.level));
	}

	/**
	 * Return the time until a request may pass.
	 * @param cost the units that it uses
	 * @return the time in milliseconds
	 */
	long waitMillis(long cost) {
		return (long) Math.ceil(missing(cost) / this.ratePerSecond * MILLIS_PER_SECOND);
	}

}
