package io.flamingogap.core.rollout;

/**
 * Decision of a node about a rollout.
 *
 * @param phase the phase of the rollout
 * @param sharePermille the share of requests for the candidate, in thousandths
 * @param reason the reason, with the counts behind it
 */
public record RolloutDecision(RolloutPhase phase, int sharePermille, String reason) {

	/** Share of all requests, in thousandths. */
	public static final int ALL_PERMILLE = 1_000;

	/**
	 * Return whether there is enough evidence to let the candidate serve requests that
	 * may not be repeated.
	 * @return {@code true} once the share has risen above that of the exploration
	 */
	public boolean isCandidateProven() {
		return this.phase == RolloutPhase.MOVING || this.phase == RolloutPhase.DONE
				|| (this.phase == RolloutPhase.LATE && this.sharePermille > RolloutPolicy.EXPLORATION_PERMILLE);
	}

}
