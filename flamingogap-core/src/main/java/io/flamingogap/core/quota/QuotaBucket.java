package io.flamingogap.core.quota;

/**
 * One node's share of an account's quota: a token bucket that may go into debt by one
 * request, so that requests larger than the share still pass.
 * <p>
 * Not safe for use by several threads.
 */
final class QuotaBucket {

	private static final double MILLIS_PER_SECOND = 1_000;

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
		if (this.level <= 0) {
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
	 * Return the time until the bucket is out of debt.
	 * @return the time in milliseconds
	 */
	long waitMillis() {
		return (this.level > 0) ? 0 : (long) Math.ceil((1 - this.level) / this.ratePerSecond * MILLIS_PER_SECOND);
	}

}
