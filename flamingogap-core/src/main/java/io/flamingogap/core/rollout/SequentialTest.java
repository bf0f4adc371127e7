package io.flamingogap.core.rollout;

/**
 * Sequential probability ratio test of a candidate's share of bad requests against that
 * of the current version. The result may be read at any time: with
 * {@link #BAD_THRESHOLD}, the probability that a candidate as good as the current version
 * is ever called bad is at most {@link #ERROR_RATE} per test. The lower
 * {@link #DEADLINE_THRESHOLD} doesn't keep this bound.
 * <p>
 * The test mixes several alternatives, so that a candidate that fails nearly always is
 * detected after a few requests and one with the minimum effect after many.
 */
final class SequentialTest {

	/** Maximum probability of a false alarm of one test. */
	private static final double ERROR_RATE = 0.001;

	/**
	 * Number of independent time ranges that a test corrects for. It tests more ranges,
	 * most of which overlap.
	 */
	private static final double TIME_RANGES = 32;

	/** Log likelihood ratio that allows one step of a rollout. */
	static final double STEP_THRESHOLD = Math.log(1 / ERROR_RATE);

	/** Log likelihood ratio above which a candidate is bad. */
	static final double BAD_THRESHOLD = Math.log(TIME_RANGES / ERROR_RATE);

	/**
	 * Log likelihood ratio above which a candidate is probably bad. Enough to hold a
	 * rollout back, and to end it at its deadline.
	 */
	static final double DEADLINE_THRESHOLD = Math.log(3);

	/**
	 * Minimum effect to detect, as the ratio of the candidate's share to the current one.
	 */
	private static final double MIN_EFFECT_RATIO = 2.0;

	/** Minimum effect to detect, as the difference between the shares. */
	private static final double MIN_DIFFERENCE = 0.01;

	/** Further alternatives: shares of bad requests larger than the minimum effect. */
	private static final double[] LARGE_BAD_SHARES = { 0.1, 0.5, 0.95 };

	private static final double MAX_SHARE = 0.95;

	/** Weight of the prior share in the estimate of the overall share, in requests. */
	private static final double PRIOR_WEIGHT = 100;

	/** Weight of the overall share in the estimate for one period, in requests. */
	private static final double OVERALL_WEIGHT = 200;

	/** Standard errors added to the current version's share, which is an estimate too. */
	private static final double MARGIN_STANDARD_ERRORS = 2.5;

	private final double[] logRatios = new double[LARGE_BAD_SHARES.length + 1];

	/**
	 * Estimate the current version's share of bad requests over all periods.
	 * @param outcome the kind of bad outcome
	 * @param current the counts of the current version over all periods
	 * @return the share, from 0 to 1
	 */
	static double estimateOverallShare(BadOutcome outcome, Tally current) {
		return (outcome.count(current) + outcome.priorShare() * PRIOR_WEIGHT) / (current.requests() + PRIOR_WEIGHT);
	}

	private static double estimatePeriodShare(BadOutcome outcome, double overallShare, Tally current) {
		return (outcome.count(current) + overallShare * OVERALL_WEIGHT) / (current.requests() + OVERALL_WEIGHT);
	}

	/**
	 * Add the evidence of one more period.
	 * @param outcome the kind of bad outcome
	 * @param overallShare the current version's share of it over all periods
	 * @param current the counts of the current version in the period
	 * @param candidate the counts of the candidate in the period
	 */
	void add(BadOutcome outcome, double overallShare, Tally current, Tally candidate) {
		double estimate = estimatePeriodShare(outcome, overallShare, current);
		double standardError = Math.sqrt(estimate * (1 - estimate) / (current.requests() + OVERALL_WEIGHT));
		double goodShare = Math.min(MAX_SHARE / MIN_EFFECT_RATIO, estimate + MARGIN_STANDARD_ERRORS * standardError);
		long badRequests = outcome.count(candidate);
		double minBad = Math.max(goodShare, minBadShare(estimate));
		this.logRatios[0] += logLikelihoodRatio(goodShare, minBad, candidate.requests(), badRequests);
		for (int i = 0; i < LARGE_BAD_SHARES.length; i++) {
			double alternative = Math.max(minBad, LARGE_BAD_SHARES[i]);
			this.logRatios[i + 1] += logLikelihoodRatio(goodShare, alternative, candidate.requests(), badRequests);
		}
	}

	/**
	 * Return whether the evidence so far shows that the candidate is worse.
	 * @param threshold the log likelihood ratio to exceed
	 * @return {@code true} if the log of the alternatives' mean likelihood ratio exceeds
	 * it
	 */
	boolean showsRegression(double threshold) {
		double likelihood = 0;
		// The cap prevents an overflow. It is too high to change the result.
		for (double logRatio : this.logRatios) {
			likelihood += Math.exp(Math.min(logRatio, 2 * BAD_THRESHOLD));
		}
		return Math.log(likelihood / this.logRatios.length) > threshold;
	}

	/**
	 * Return how much more likely the candidate's counts in one period are if it is as
	 * good as the current version than if it is worse by the minimum effect.
	 * @param outcome the kind of bad outcome
	 * @param overallShare the current version's share of it over all periods
	 * @param current the counts of the current version in the period
	 * @param candidate the counts of the candidate in the period
	 * @return the logarithm of the ratio of the two likelihoods; it grows with evidence
	 * for the candidate
	 */
	static double logRatioForCandidate(BadOutcome outcome, double overallShare, Tally current, Tally candidate) {
		double goodShare = Math.min(MAX_SHARE / MIN_EFFECT_RATIO, estimatePeriodShare(outcome, overallShare, current));
		return -logLikelihoodRatio(goodShare, minBadShare(goodShare), candidate.requests(), outcome.count(candidate));
	}

	private static double logLikelihoodRatio(double goodShare, double badShare, long requests, long badRequests) {
		return badRequests * Math.log(badShare / goodShare)
				+ (requests - badRequests) * Math.log((1 - badShare) / (1 - goodShare));
	}

	private static double minBadShare(double goodShare) {
		return Math.min(MAX_SHARE, Math.max(MIN_EFFECT_RATIO * goodShare, goodShare + MIN_DIFFERENCE));
	}

}
