package io.flamingogap.core.rollout;

/**
 * What a node does about a rollout.
 *
 * @param phase the phase
 * @param sharePermille the share of requests for the candidate, in thousandths
 * @param reason why, with the figures
 */
public record RolloutDecision(RolloutPhase phase, int sharePermille, String reason) {

	/** All requests, in thousandths. */
	public static final int ALL_PERMILLE = 1_000;

	/**
	 * Return whether the evidence shows the candidate good enough for requests that may
	 * not be repeated.
	 * @return {@code true} after the exploration
	 */
	public boolean isShownGood() {
		return this.phase == RolloutPhase.MOVING || this.phase == RolloutPhase.DONE
				|| (this.phase == RolloutPhase.LATE && this.sharePermille > RolloutPolicy.EXPLORATION_PERMILLE);
	}

}
