package io.flamingogap.core.quota;

/**
 * Whether a request is admitted within a quota, with the figures that decided it.
 *
 * @param waitMillis 0 if the request is admitted, otherwise the time until one may be
 * @param missingUnits the units that would have admitted the request
 * @param share this node's share of the quota, from 0 to 1
 * @param ratePerSecond the units that the share regains each second
 * @param availableUnits the units that were left
 */
public record QuotaDecision(long waitMillis, long missingUnits, double share, double ratePerSecond,
		double availableUnits) {

	/** There is no limit. */
	static final QuotaDecision UNLIMITED = new QuotaDecision(0, 0, 1, 0, 0);

	/**
	 * Return whether the request is admitted.
	 * @return {@code true} if it is
	 */
	public boolean isAdmitted() {
		return this.waitMillis == 0;
	}

}
