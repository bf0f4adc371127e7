package io.flamingogap.core.rollout;

/**
 * Sequential probability ratio test of a candidate's share of bad requests against that
 * of the current version. The result may be read at any time: the probability that a
 * candidate as good as the current version is ever called bad is at most
 * {@link #ERROR_RATE} per test.
 * <p>
 * The test mixes several alternatives, so that a candidate that fails nearly always is
 * detected after a few requests and one with the minimum effect after many.
 */
final class SequentialTest {

	/** Probability of a false alarm of one test over one time range. */
	private static final double ERROR_RATE = 0.001;

	/** Correction for testing many time ranges, most of which overlap. */
	private static final double TIME_RANGES = 32;

	/** Log likelihood ratio that allows one step of a rollout. */
	static final double STEP_THRESHOLD = Math.log(1 / ERROR_RATE);

	/** Log likelihood ratio above which a candidate is bad. */
	static final double BAD_THRESHOLD = Math.log(TIME_RANGES / ERROR_RATE);

	/**
	 * Log likelihood ratio above which a candidate is bad at the deadline, if the
	 * evidence hasn't allowed all traffic to move.
	 */
	static final double DEADLINE_THRESHOLD = Math.log(3);

	/** Minimum effect to detect, as a multiple of the current version's share. */
	private static final double MIN_EFFECT = 2.0;

	/** Minimum difference between the shares to detect. */
	private static final double MIN_DIFFERENCE = 0.01;

	/** Further alternatives: shares of bad requests larger than the minimum effect. */
	private static final double[] LARGE_BAD_SHARES = { 0.1, 0.5, 0.95 };

	private static final double MAX_SHARE = 0.95;

	/** Weight of the share expected before any request, in requests. */
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
		return (outcome.count(current) + outcome.expectedShare() * PRIOR_WEIGHT) / (current.requests() + PRIOR_WEIGHT);
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
		double error = Math.sqrt(estimate * (1 - estimate) / (current.requests() + OVERALL_WEIGHT));
		double good = Math.min(MAX_SHARE / MIN_EFFECT, estimate + MARGIN_STANDARD_ERRORS * error);
		long bad = outcome.count(candidate);
		double minBad = Math.max(good, minBadShare(estimate));
		this.logRatios[0] += logLikelihoodRatio(good, minBad, candidate.requests(), bad);
		for (int i = 0; i < LARGE_BAD_SHARES.length; i++) {
			double alternative = Math.max(minBad, LARGE_BAD_SHARES[i]);
			this.logRatios[i + 1] += logLikelihoodRatio(good, alternative, candidate.requests(), bad);
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
		for (double logRatio : this.logRatios) {
			likelihood += Math.exp(Math.min(logRatio, 2 * BAD_THRESHOLD));
		}
		return Math.log(likelihood / this.logRatios.length) > threshold;
	}

	/**
	 * Return the likelihood of "the candidate is as good as the current version" against
	 * "the candidate is worse by the minimum effect", in one period.
	 * @param outcome the kind of bad outcome
	 * @param overallShare the current version's share of it over all periods
	 * @param current the counts of the current version in the period
	 * @param candidate the counts of the candidate in the period
	 * @return the log likelihood ratio; it grows with evidence for the candidate
	 */
	static double logRatioForCandidate(BadOutcome outcome, double overallShare, Tally current, Tally candidate) {
		double good = Math.min(MAX_SHARE / MIN_EFFECT, estimatePeriodShare(outcome, overallShare, current));
		return -logLikelihoodRatio(good, minBadShare(good), candidate.requests(), outcome.count(candidate));
	}

	private static double logLikelihoodRatio(double good, double bad, long requests, long badRequests) {
		return badRequests * Math.log(bad / good) + (requests - badRequests) * Math.log((1 - bad) / (1 - good));
	}

	private static double minBadShare(double good) {
		return Math.min(MAX_SHARE, Math.max(MIN_EFFECT * good, good + MIN_DIFFERENCE));
	}

}
