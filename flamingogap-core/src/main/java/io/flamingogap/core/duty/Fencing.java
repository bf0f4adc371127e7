package io.flamingogap.core.duty;

/**
 * Who keeps a previous holder of the duties from acting beside the current one.
 */
public enum Fencing {

	/**
	 * The cloud refuses calls with a lower fencing token than it has seen. A holder may
	 * act until its membership ends, and its successor at once.
	 */
	CHECKED_BY_CLOUD(2_500) {
		@Override
		long settlingMillis(long leaseMillis) {
			return 0;
		}
	},

	/**
	 * The cloud accepts any token. A holder stops early and ends its calls, and its
	 * successor waits until the holder must have noticed.
	 */
	KEPT_BY_HOLDERS(2_000) {
		@Override
		long settlingMillis(long leaseMillis) {
			return leaseMillis;
		}
	};

	private final long confirmationValidMillis;

	Fencing(long confirmationValidMillis) {
		this.confirmationValidMillis = confirmationValidMillis;
	}

	/**
	 * Return how long a holder relies on the store's confirmation that it holds the
	 * duties.
	 * @return the time in milliseconds from the question to the store
	 */
	long confirmationValidMillis() {
		return this.confirmationValidMillis;
	}

	/**
	 * Return how long a holder waits after its claim before it acts, unless it is the
	 * first of all.
	 * @param leaseMillis the lease in milliseconds
	 * @return the time in milliseconds
	 */
	abstract long settlingMillis(long leaseMillis);

}
