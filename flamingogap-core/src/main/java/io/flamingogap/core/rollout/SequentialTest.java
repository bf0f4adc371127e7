package io.flamingogap.core.rollout;

/**
 * Sequential probability ratio test of a candidate's share of bad requests against the
 * share of the version in use. It may be looked at at any time: the chance that a
 * candidate as good as the version in use is ever called bad is at most
 * {@link #ERROR_RATE} a test.
 * <p>
 * The alternatives are mixed, so that a candidate that fails nearly always is found after
 * a few requests and one of the least effect after many.
 */
final class SequentialTest {

	/** The chance of a wrong verdict of one test over one stretch of time. */
	private static final double ERROR_RATE = 0.001;

	/** Allows for looking at many stretches of time, which mostly overlap. */
	private static final double STRETCHES = 32;

	/** The log likelihood ratio at which a step towards a verdict is taken. */
	static final double THRESHOLD = Math.log(1 / ERROR_RATE);

	/** The log likelihood ratio at which a candidate is bad. */
	static final double BAD_THRESHOLD = Math.log(STRETCHES / ERROR_RATE);

	/** The ratio at which a candidate that isn't done by its deadline is bad. */
	static final double LATE_THRESHOLD = Math.log(3);

	/** The least effect that the test looks for, as a multiple of the share in use. */
	private static final double LEAST_EFFECT = 2.0;

	/** The least difference between the shares that the test looks for. */
	private static final double MIN_DIFFERENCE = 0.01;

	/** Shares of bad requests that a bad candidate may have besides the least effect. */
	private static final double[] LARGE_SHARES = { 0.1, 0.5, 0.95 };

	private static final double SHARE_CEILING = 0.95;

	/** Weight of what is expected before any request, in requests. */
	private static final double EXPECTED_WEIGHT = 100;

	/** Weight of the share over all periods in the share of one period, in requests. */
	private static final double ALL_WEIGHT = 200;

	/** Standard errors added to the share in use, since it is an estimate itself. */
	private static final double MARGIN_ERRORS = 2.5;

	private final double[] ratios = new double[LARGE_SHARES.length + 1];

	/**
	 * Estimate the share of bad requests over all periods.
	 * @param outcome what is bad about them
	 * @param current the counts of the version in use
	 * @return the share
	 */
	static double share(BadOutcome outcome, Tally current) {
		return (outcome.count(current) + outcome.expectedShare() * EXPECTED_WEIGHT)
				/ (current.requests() + EXPECTED_WEIGHT);
	}

	private static double periodShare(BadOutcome outcome, double allShare, Tally current) {
		return (outcome.count(current) + allShare * ALL_WEIGHT) / (current.requests() + ALL_WEIGHT);
	}

	/**
	 * Add the evidence of one more period.
	 * @param outcome what is bad about a request
	 * @param allShare the share of the version in use over all periods
	 * @param current the version in use in the period
	 * @param candidate the candidate in the period
	 */
	void add(BadOutcome outcome, double allShare, Tally current, Tally candidate) {
		double estimate = periodShare(outcome, allShare, current);
		double error = Math.sqrt(estimate * (1 - estimate) / (current.requests() + ALL_WEIGHT));
		double good = Math.min(SHARE_CEILING / LEAST_EFFECT, estimate + MARGIN_ERRORS * error);
		long bad = outcome.count(candidate);
		double least = Math.max(good, leastBadShare(estimate));
		this.ratios[0] += ratio(good, least, candidate.requests(), bad);
		for (int i = 0; i < LARGE_SHARES.length; i++) {
			double alternative = Math.max(least, LARGE_SHARES[i]);
			this.ratios[i + 1] += ratio(good, alternative, candidate.requests(), bad);
		}
	}

	/**
	 * Return whether the evidence so far shows the candidate bad.
	 * @param threshold the log likelihood ratio to exceed
	 * @return {@code true} if it does
	 */
	boolean isBad(double threshold) {
		double likelihood = 0;
		for (double ratio : this.ratios) {
			likelihood += Math.exp(Math.min(ratio, 2 * BAD_THRESHOLD));
		}
		return Math.log(likelihood / this.ratios.length) > threshold;
	}

	/**
	 * Weigh "the candidate is as good as the version in use" against the least effect, in
	 * one period.
	 * @param outcome what is bad about a request
	 * @param allShare the share of the version in use over all periods
	 * @param current the version in use in the period
	 * @param candidate the candidate in the period
	 * @return the log likelihood ratio; it grows with evidence for the candidate
	 */
	static double goodness(BadOutcome outcome, double allShare, Tally current, Tally candidate) {
		double good = Math.min(SHARE_CEILING / LEAST_EFFECT, periodShare(outcome, allShare, current));
		return -ratio(good, leastBadShare(good), candidate.requests(), outcome.count(candidate));
	}

	private static double ratio(double good, double bad, long requests, long badRequests) {
		return badRequests * Math.log(bad / good) + (requests - badRequests) * Math.log((1 - bad) / (1 - good));
	}

	private static double leastBadShare(double good) {
		return Math.min(SHARE_CEILING, Math.max(LEAST_EFFECT * good, good + MIN_DIFFERENCE));
	}

}
