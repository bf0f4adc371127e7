package io.flamingogap.core.limits;

/**
 * Limits retries to a share of the first tries of a service. Each first try earns a
 * fraction of a retry. The earned retries are capped, so that a period of few failures
 * doesn't save up retries for a storm.
 * <p>
 * Not safe for use by several threads.
 */
public final class RetryBudget {

	private static final int PERCENT = 100;

	private final int sharePercent;

	private final long maxCreditPercent;

	private long creditPercent;

	/**
	 * Create a budget that begins with one retry.
	 * @param sharePercent the number of retries allowed per hundred first tries
	 * @param maxSavedRetries the maximum number of earned retries
	 */
	public RetryBudget(int sharePercent, int maxSavedRetries) {
		if (sharePercent < 0 || sharePercent > PERCENT) {
			throw new IllegalArgumentException("sharePercent must be 0 to 100 but was " + sharePercent);
		}
		if (maxSavedRetries < 1) {
			throw new IllegalArgumentException("maxSavedRetries must be positive but was " + maxSavedRetries);
		}
		this.sharePercent = sharePercent;
		this.maxCreditPercent = (long) maxSavedRetries * PERCENT;
		this.creditPercent = PERCENT;
	}

	/**
	 * Record a first try, which earns a fraction of a retry.
	 */
	public void recordFirstTry() {
		this.creditPercent = Math.min(this.maxCreditPercent, this.creditPercent + this.sharePercent);
	}

	/**
	 * Spend a retry if one is earned.
	 * @return {@code true} if the request may be retried
	 */
	public boolean trySpend() {
		if (this.creditPercent < PERCENT) {
			return false;
		}
		this.creditPercent -= PERCENT;
		return true;
	}

}
