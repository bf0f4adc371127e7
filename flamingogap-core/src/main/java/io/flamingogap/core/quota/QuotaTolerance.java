package io.flamingogap.core.quota;

import io.flamingogap.core.serving.AccountQuota;

/**
 * By how much an account may exceed its quota in a window, over all nodes together.
 *
 * @param share the excess as a share of what the quota allows in a window
 * @param units the excess besides, in units of the quota
 * @param windowMillis the length of the window
 */
public record QuotaTolerance(double share, double units, long windowMillis) {

	/**
	 * The part of the tolerance that nodes use; the rest is for reports that come late.
	 */
	private static final double USED_PART = 0.5;

	private static final double MILLIS_PER_SECOND = 1_000;

	public QuotaTolerance {
		if (!(share >= 0) || !(units >= 0) || windowMillis < 0) {
			throw new IllegalArgumentException("share, units and windowMillis must not be negative but were " + share
					+ ", " + units + ", " + windowMillis);
		}
	}

	/**
	 * Return the units that nodes regain beyond a quota. They make up for shares that lie
	 * at nodes where an account's callers don't ask.
	 * @param quota the quota
	 * @return units a second, over all nodes
	 */
	double ratePerSecond(AccountQuota quota) {
		if (this.windowMillis == 0) {
			return 0;
		}
		double windowSeconds = this.windowMillis / MILLIS_PER_SECOND;
		double allowed = quota.ratePerSecond() * windowSeconds + quota.burst();
		return (allowed * this.share + (quota.countsTokens() ? this.units : 0)) * USED_PART / windowSeconds;
	}

}
