package io.flamingogap.core.serving;

/**
 * What a client account may use, over all entry nodes together.
 *
 * @param ratePerSecond the units regained each second; 0 means no limit
 * @param burst the most units that can be saved up
 * @param countsTokens whether the unit is a token; otherwise it is a request
 * @param plainTokens the tokens that a request counts for that states none
 */
public record AccountQuota(double ratePerSecond, double burst, boolean countsTokens, long plainTokens) {

	/** No limit. */
	public static final AccountQuota UNLIMITED = new AccountQuota(0, 0, false, 0);

	public AccountQuota {
		if (!(ratePerSecond >= 0) || !(burst >= 0) || plainTokens < 0) {
			throw new IllegalArgumentException("ratePerSecond, burst and plainTokens must not be negative but were "
					+ ratePerSecond + ", " + burst + ", " + plainTokens);
		}
	}

	/**
	 * Return whether there is a limit.
	 * @return {@code true} if there is
	 */
	public boolean isLimited() {
		return this.ratePerSecond > 0;
	}

	/**
	 * Return what a request uses.
	 * @param statedTokens the tokens that the request states; negative if it states none
	 * @return the units
	 */
	public long cost(long statedTokens) {
		if (!this.countsTokens) {
			return 1;
		}
		return (statedTokens >= 0) ? statedTokens : this.plainTokens;
	}

}
