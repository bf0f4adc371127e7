package io.flamingogap.core.quota;

import io.flamingogap.core.serving.AccountQuota;

/**
 * Maximum by which an account may exceed its quota in a window, over all nodes together.
 *
 * @param share the allowed excess, as a share of what the quota allows in a window
 * @param extraTokens the excess allowed on top of the share, in tokens; it applies only
 * to quotas that count tokens
 * @param windowMillis the length of the window in milliseconds; 0 to allow no excess
 */
public record QuotaTolerance(double share, double extraTokens, long windowMillis) {

	/**
	 * Share of the tolerance that nodes use. The rest covers reports that arrive late.
	 */
	private static final double USED_SHARE = 0.5;

	private static final double MILLIS_PER_SECOND = 1_000;

	public QuotaTolerance {
		if (!(share >= 0) || !(extraTokens >= 0) || windowMillis < 0) {
			throw new IllegalArgumentException("share, extraTokens and windowMillis must not be negative but were "
					+ share + ", " + extraTokens + ", " + windowMillis);
		}
	}

	/**
	 * Return the rate that nodes add to the rate of a quota. It compensates for the
	 * shares of nodes to which the account's callers send no requests.
	 * @param quota the quota of the account
	 * @return the units per second, over all nodes
	 */
	double extraRatePerSecond(AccountQuota quota) {
		if (this.windowMillis == 0) {
			return 0;
		}
		double windowSeconds = this.windowMillis / MILLIS_PER_SECOND;
		double allowed = quota.ratePerSecond() * windowSeconds + quota.burst();
		return (allowed * this.share + (quota.countsTokens() ? this.extraTokens : 0)) * USED_SHARE / windowSeconds;
	}

}
