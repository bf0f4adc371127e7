package io.flamingogap.core.limits;

/**
 * Limits retries to a share of the first tries of a service. Each first try earns a
 * fraction of a retry. The number of earned retries is capped, so that there aren't too
 * many retries at once after a long period with few failures.
 * <p>
 * Not thread-safe.
 */
public final class RetryBudget {

	private static final int PERCENT = 100;

	private final int sharePercent;

	private final long maxCreditHundredths;

	private long creditHundredths;

	/**
	 * Create a budget that begins with one retry.
	 * @param sharePercent the number of retries allowed per hundred first tries
	 * @param maxSavedRetries the maximum number of earned retries that aren't spent yet
	 */
	public RetryBudget(int sharePercent, int maxSavedRetries) {
		if (sharePercent < 0 || sharePercent > PERCENT) {
			throw new IllegalArgumentException("sharePercent must be 0 to 100 but was " + sharePercent);
		}
		if (maxSavedRetries < 1) {
			throw new IllegalArgumentException("maxSavedRetries must be positive but was " + maxSavedRetries);
		}
		this.sharePercent = sharePercent;
		this.maxCreditHundredths = (long) maxSavedRetries * PERCENT;
		this.creditHundredths = PERCENT;
	}

	/**
	 * Record a first try, which earns a fraction of a retry.
	 */
	public void recordFirstTry() {
		this.creditHundredths = Math.min(this.maxCreditHundredths, this.creditHundredths + this.sharePercent);
	}

	/**
	 * Spend a retry if one is earned.
	 * @return {@code true} if the request may be retried
	 */
	public boolean trySpend() {
		if (this.creditHundredths < PERCENT) {
			return false;
		}
		this.creditHundredths -= PERCENT;
		return true;
	}

}
