package io.flamingogap.core.quota;

/**
 * How a node comes to hold a share of a quota. Determines what it may spend at first.
 */
public enum HoldingStart {

	/** Nobody has spent any of the quota yet. */
	UNSPENT(0) {
		@Override
		double initialLevel(double ratePerSecond, double capacity) {
			return capacity;
		}
	},

	/**
	 * The previous run of the node held the share and may have spent all of it. The units
	 * of one second are available, as many as the restart of a node takes.
	 */
	RESTARTED(0) {
		@Override
		double initialLevel(double ratePerSecond, double capacity) {
			return Math.min(ratePerSecond, capacity);
		}
	},

	/**
	 * Another node held the share, and may still spend it until it learns of the new
	 * holder.
	 */
	TAKEN_OVER(6_000) {
		@Override
		double initialLevel(double ratePerSecond, double capacity) {
			return 0;
		}
	};

	private final long delayMillis;

	HoldingStart(long delayMillis) {
		this.delayMillis = delayMillis;
	}

	/**
	 * Return how long the node must not spend anything.
	 * @return the time in milliseconds; longer than all nodes take to learn of a change
	 * of the members
	 */
	long delayMillis() {
		return this.delayMillis;
	}

	/**
	 * Return the units that are available after the delay.
	 * @param ratePerSecond the units per second of the share
	 * @param capacity the burst of the share
	 * @return the units
	 */
	abstract double initialLevel(double ratePerSecond, double capacity);

}
