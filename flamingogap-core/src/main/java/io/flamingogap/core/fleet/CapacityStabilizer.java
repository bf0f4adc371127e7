package io.flamingogap.core.fleet;

/**
 * Computes how many servers a service should have from what its demand needs. The target
 * begins at the number of servers that the operators started. The required number follows
 * the demand with a reserve for bursts. Both rise at once and fall by a tenth after each
 * period in which fewer servers sufficed. If the service had no requests before, the
 * number that the operators started is a guess: it requires no servers, and the first
 * period with demand replaces it by what was needed.
 * <p>
 * Not thread-safe.
 */
public final class CapacityStabilizer {

	/** Time for which fewer servers must suffice before a number falls. */
	private static final long SCALE_DOWN_AFTER_MILLIS = 12_000;

	private static final int SCALE_DOWN_DIVISOR = 10;

	private static final long NO_DEMAND = Long.MAX_VALUE;

	/** Required servers for each one that the demand needs, to serve a burst. */
	private static final double RESERVE_FACTOR = 1.5;

	private final SlowlyFallingNumber target;

	private final SlowlyFallingNumber required;

	/** The number that the demand has needed, without the guess. */
	private final SlowlyFallingNumber known = new SlowlyFallingNumber(0);

	private boolean guessed;

	private int highestNeeded;

	private long demandSinceMillis = NO_DEMAND;

	/**
	 * Create a stabilizer.
	 * @param initialTarget the target before the demand is known
	 * @param knownUnused whether it is known that the service has never had a request, so
	 * that no servers are required yet
	 */
	public CapacityStabilizer(int initialTarget, boolean knownUnused) {
		this.target = new SlowlyFallingNumber(initialTarget);
		this.guessed = knownUnused;
		this.required = new SlowlyFallingNumber(knownUnused ? 0 : initialTarget);
	}

	/**
	 * Update both numbers.
	 * @param needed the number of servers that the current demand needs
	 * @param hasDemand whether the service has any demand
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the number of servers that the service should have
	 */
	public DesiredCapacity update(int needed, boolean hasDemand, long nowMillis) {
		if (this.guessed && hasDemand) {
			replaceGuess(needed, nowMillis);
		}
		int targetServers = this.target.update(needed, nowMillis);
		int knownServers = this.known.update(hasDemand ? needed : 0, nowMillis);
		int withReserve = hasDemand ? (int) Math.ceil(needed * RESERVE_FACTOR) : 0;
		return new DesiredCapacity(targetServers,
				Math.min(this.guessed ? knownServers : targetServers, this.required.update(withReserve, nowMillis)));
	}

	private void replaceGuess(int needed, long nowMillis) {
		this.demandSinceMillis = Math.min(this.demandSinceMillis, nowMillis);
		this.highestNeeded = Math.max(this.highestNeeded, needed);
		if (nowMillis - this.demandSinceMillis > SCALE_DOWN_AFTER_MILLIS) {
			this.guessed = false;
			this.target.lowerTo(this.highestNeeded, nowMillis);
		}
	}

	private static final class SlowlyFallingNumber {

		private int value;

		private boolean updated;

		private long lowerSinceMillis;

		private SlowlyFallingNumber(int value) {
			this.value = value;
		}

		private void lowerTo(int wanted, long nowMillis) {
			this.value = Math.min(this.value, wanted);
			this.lowerSinceMillis = nowMillis;
		}

		private int update(int wanted, long nowMillis) {
			if (!this.updated || wanted >= this.value) {
				this.updated = true;
				this.value = Math.max(wanted, this.value);
				this.lowerSinceMillis = nowMillis;
			}
			else if (nowMillis - this.lowerSinceMillis > SCALE_DOWN_AFTER_MILLIS) {
				this.value = Math.max(wanted, this.value - Math.max(1, this.value / SCALE_DOWN_DIVISOR));
				this.lowerSinceMillis = nowMillis;
			}
			return this.value;
		}

	}

}
