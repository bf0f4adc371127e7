package io.flamingogap.core.quota;

/**
 * Token bucket for one node's share of an account's quota. A request larger than half of
 * the capacity passes once the level reaches that half, and may leave a negative level.
 * Otherwise a small share could never admit it.
 * <p>
 * Not thread-safe.
 */
final class QuotaBucket {

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Share of the capacity that suffices to admit a request of any size. A smaller share
	 * allows lower negative levels, and their sum over all holders must stay within the
	 * tolerance of the quota.
	 */
	private static final double SUFFICIENT_SHARE = 0.5;

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
		double added = this.ratePerSecond * Math.max(0, nowMillis - this.updatedAtMillis) / MILLIS_PER_SECOND;
		this.level = Math.min(this.capacity, this.level + added);
		this.updatedAtMillis = nowMillis;
	}

	boolean trySpend(long cost) {
		if (missingUnits(cost) > 0) {
			return false;
		}
		this.level -= cost;
		return true;
	}

	double level() {
		return this.level;
	}

	void add(long units) {
		this.level += units;
	}

	/**
	 * Return how many more units the bucket needs to admit a request.
	 * @param cost the units that the request uses
	 * @return the missing units; 0 if the request would be admitted
	 */
	long missingUnits(long cost) {
		double required = requiredUnits(cost, this.capacity);
		return (this.level > 0 && this.level >= required) ? 0 : Math.max(1, (long) Math.ceil(required - this.level));
	}

	/**
	 * Return how many units admit a request.
	 * @param cost the units that the request uses
	 * @param capacity the capacity of the bucket in units
	 * @return the whole cost, or less if the request is large compared with the capacity
	 */
	static double requiredUnits(long cost, double capacity) {
		return Math.min(cost, capacity * SUFFICIENT_SHARE);
	}

	/**
	 * Return the time until the bucket admits a request.
	 * @param cost the units that the request uses
	 * @return the time in milliseconds; 0 if the request would be admitted now
	 */
	long waitMillis(long cost) {
		return (long) Math.ceil(missingUnits(cost) / this.ratePerSecond * MILLIS_PER_SECOND);
	}

}
