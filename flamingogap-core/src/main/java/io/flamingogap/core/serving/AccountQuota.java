package io.flamingogap.core.serving;

/**
 * Token bucket parameters of a client account, for all entry nodes together.
 *
 * @param ratePerSecond the units added to the bucket each second; 0 means no limit
 * @param burst the capacity of the bucket in units
 * @param countsTokens whether a unit is a token; otherwise a unit is a request
 * @param plainTokens the default charge, in tokens, for a request that doesn't state a
 * number of tokens
 */
public record AccountQuota(double ratePerSecond, double burst, boolean countsTokens, long plainTokens) {

	/** Quota without a limit. */
	public static final AccountQuota UNLIMITED = new AccountQuota(0, 0, false, 0);

	public AccountQuota {
		if (!(ratePerSecond >= 0) || !(burst >= 0) || plainTokens < 0) {
			throw new IllegalArgumentException("ratePerSecond, burst and plainTokens must not be negative but were "
					+ ratePerSecond + ", " + burst + ", " + plainTokens);
		}
	}

	/**
	 * Return whether the account is limited at all.
	 * @return {@code true} if the rate is above 0
	 */
	public boolean isLimited() {
		return this.ratePerSecond > 0;
	}

	/**
	 * Return the units that a request is charged with.
	 * @param statedTokens the number of tokens that the request states; negative if it
	 * states none
	 * @return the tokens if tokens are counted, otherwise 1
	 */
	public long cost(long statedTokens) {
		if (!this.countsTokens) {
			return 1;
		}
		return (statedTokens >= 0) ? statedTokens : this.plainTokens;
	}

}
