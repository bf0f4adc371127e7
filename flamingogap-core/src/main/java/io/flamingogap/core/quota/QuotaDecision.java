package io.flamingogap.core.quota;

/**
 * Decision whether a quota admits a request, with the figures behind it.
 *
 * @param waitMillis 0 if the request is admitted, otherwise the time until it can be, in
 * milliseconds
 * @param missingUnits how many more units the request needs; 0 if it is admitted
 * @param availableUnits the units that were left before the request, which may be
 * negative
 * @param holder the node that decided; empty if none answered
 */
public record QuotaDecision(long waitMillis, long missingUnits, long availableUnits, String holder) {

	/** Decision for accounts without a limit. */
	static final QuotaDecision UNLIMITED = new QuotaDecision(0, 0, 0, "");

	/**
	 * Return whether the request is admitted.
	 * @return {@code true} if the caller doesn't have to wait
	 */
	public boolean isAdmitted() {
		return this.waitMillis == 0;
	}

}
