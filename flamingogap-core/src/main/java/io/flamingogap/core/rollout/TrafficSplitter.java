package io.flamingogap.core.rollout;

import io.flamingogap.core.text.Digests;

/**
 * Splits the requests of a service between the two versions of a rollout.
 */
public final class TrafficSplitter {

	private static final int HEX_RADIX = 16;

	private static final int HASH_DIGITS = 8;

	private TrafficSplitter() {
	}

	/**
	 * Choose the version for a request by a hash of its id, so that all attempts of a
	 * request go to the same version as long as the share doesn't change.
	 * @param decision the decision about the rollout
	 * @param requestId the id of the request
	 * @param repeatable whether the request may be sent more than once; others go to the
	 * candidate only after the exploration
	 * @return the version to send the request to
	 */
	public static Arm choose(RolloutDecision decision, String requestId, boolean repeatable) {
		if (decision.sharePermille() == 0 || (!repeatable && !decision.isCandidateProven())) {
			return Arm.CURRENT;
		}
		String hash = Digests.sha256(requestId).substring(0, HASH_DIGITS);
		long hashPermille = Long.parseLong(hash, HEX_RADIX) % RolloutDecision.ALL_PERMILLE;
		return (hashPermille < decision.sharePermille()) ? Arm.CANDIDATE : Arm.CURRENT;
	}

}
