package io.flamingogap.core.rollout;

import io.flamingogap.core.text.Digests;

/**
 * Chooses the version for one request.
 */
public final class TrafficSplitter {

	private static final int HEX = 16;

	private static final int DIGITS = 8;

	private TrafficSplitter() {
	}

	/**
	 * Choose by a digest of the request's id, so that each attempt of a request goes to
	 * the same version while the share stands.
	 * @param decision what is decided about the rollout
	 * @param requestId the id of the request
	 * @param repeatable whether the request may be repeated
	 * @return the version to use
	 */
	public static Arm choose(RolloutDecision decision, String requestId, boolean repeatable) {
		if (decision.sharePermille() == 0 || (!repeatable && !decision.isShownGood())) {
			return Arm.CURRENT;
		}
		String digits = Digests.sha256(requestId).substring(0, DIGITS);
		long place = Long.parseLong(digits, HEX) % RolloutDecision.ALL_PERMILLE;
		return (place < decision.sharePermille()) ? Arm.CANDIDATE : Arm.CURRENT;
	}

}
