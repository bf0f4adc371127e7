package io.flamingogap.core.rollout;

/**
 * Sequential probability ratio test of a candidate's share of bad requests against the
 * current version's. It may be looked at after every request: the chance that a candidate
 * as good as the current version is ever called bad is at most {@link #ERROR_RATE} a
 * test.
 */
final class SequentialTest {

	/** The chance of a wrong verdict of one test. */
	static final double ERROR_RATE = 0.001;

	/** The log likelihood ratio at which a verdict is reached. */
	static final double THRESHOLD = Math.log(1 / ERROR_RATE);

	/** The least effect that the test looks for, as a multiple of the current share. */
	private static final double LEAST_EFFECT = 2.0;

	/** Shares of bad requests that a bad candidate may have besides the least effect. */
	private static final double[] LARGE_SHARES = { 0.1, 0.5, 0.95 };

	/** The share of bad requests below which versions are not told apart. */
	private static final double SHARE_FLOOR = 0.005;

	/** The least difference between the shares that the test looks for. */
	private static final double MIN_DIFFERENCE = 0.01;

	private static final double SHARE_CEILING = 0.95;

	/** Weight of the floor in the estimate, in requests. */
	private static final double PRIOR_REQUESTS = 100;

	private SequentialTest() {
	}

	/**
	 * Weigh "the candidate is bad" against "the candidate is as good as the current
	 * version". The alternatives are mixed, so that a candidate that fails nearly always
	 * is found after a few requests and one of the least effect after many.
	 * @param currentRequests the requests of the current version
	 * @param currentBad the bad ones among them
	 * @param candidateRequests the requests of the candidate
	 * @param candidateBad the bad ones among them
	 * @return the log likelihood ratio; above the threshold the candidate is bad
	 */
	static double badness(long currentRequests, long currentBad, long candidateRequests, long candidateBad) {
		double good = currentShare(currentRequests, currentBad);
		double likelihood = Math.exp(cap(ratio(good, leastBadShare(good), candidateRequests, candidateBad)));
		int alternatives = 1;
		for (double share : LARGE_SHARES) {
			if (share > leastBadShare(good)) {
				likelihood += Math.exp(cap(ratio(good, share, candidateRequests, candidateBad)));
				alternatives++;
			}
		}
		return Math.log(likelihood / alternatives);
	}

	/**
	 * Weigh "the candidate is as good as the current version" against the least effect.
	 * @param currentRequests the requests of the current version
	 * @param currentBad the bad ones among them
	 * @param candidateRequests the requests of the candidate
	 * @param candidateBad the bad ones among them
	 * @return the log likelihood ratio; it grows with evidence for the candidate
	 */
	static double goodness(long currentRequests, long currentBad, long candidateRequests, long candidateBad) {
		double good = currentShare(currentRequests, currentBad);
		return -ratio(good, leastBadShare(good), candidateRequests, candidateBad);
	}

	private static double ratio(double good, double bad, long requests, long badRequests) {
		return badRequests * Math.log(bad / good) + (requests - badRequests) * Math.log((1 - bad) / (1 - good));
	}

	private static double leastBadShare(double good) {
		return Math.min(SHARE_CEILING, Math.max(LEAST_EFFECT * good, good + MIN_DIFFERENCE));
	}

	private static double currentShare(long requests, long bad) {
		double estimate = (bad + SHARE_FLOOR * PRIOR_REQUESTS) / (requests + PRIOR_REQUESTS);
		return Math.min(SHARE_CEILING / LEAST_EFFECT, Math.max(SHARE_FLOOR, estimate));
	}

	private static double cap(double ratio) {
		return Math.min(ratio, 2 * THRESHOLD);
	}

}
