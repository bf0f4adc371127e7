package io.flamingogap.core.limits;

/**
 * Bounds retries to a share of the first tries of a service. Each first try earns a part
 * of a retry; the earned retries are capped, so that a quiet time can't save up a storm.
 * <p>
 * Not safe for use by several threads.
 */
public final class RetryBudget {

	private static final int PERCENT = 100;

	private final int sharePercent;

	private final long maxCredit;

	private long credit;

	/**
	 * Create a budget that begins with one retry.
	 * @param sharePercent the retries allowed for each hundred first tries
	 * @param maxSavedRetries the most retries that can be saved up
	 */
	public RetryBudget(int sharePercent, int maxSavedRetries) {
		if (sharePercent < 0 || sharePercent > PERCENT) {
			throw new IllegalArgumentException("sharePercent must be 0 to 100 but was " + sharePercent);
		}
		if (maxSavedRetries < 1) {
			throw new IllegalArgumentException("maxSavedRetries must be positive but was " + maxSavedRetries);
		}
		this.sharePercent = sharePercent;
		this.maxCredit = (long) maxSavedRetries * PERCENT;
		this.credit = PERCENT;
	}

	/**
	 * Earn for a first try.
	 */
	public void recordFirstTry() {
		this.credit = Math.min(this.maxCredit, this.credit + this.sharePercent);
	}

	/**
	 * Spend a retry.
	 * @return {@code true} if there was one to spend
	 */
	public boolean trySpend() {
		if (this.credit < PERCENT) {
			return false;
		}
		this.credit -= PERCENT;
		return true;
	}

}
