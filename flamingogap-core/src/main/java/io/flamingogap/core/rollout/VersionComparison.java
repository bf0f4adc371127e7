package io.flamingogap.core.rollout;

import java.util.Locale;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Counts of both versions by time period, and their comparison. Versions are compared
 * within a period, so that a disturbance of both doesn't count against the version that
 * has more traffic at that time.
 */
final class VersionComparison {

	private final SortedMap<Integer, TallyPair> periods = new TreeMap<>();

	private TallyPair total = TallyPair.NONE;

	void add(int period, Arm arm, Tally tally) {
		TallyPair added = (arm == Arm.CURRENT) ? new TallyPair(tally, Tally.NONE) : new TallyPair(Tally.NONE, tally);
		this.periods.merge(period, added, TallyPair::plus);
		this.total = this.total.plus(added);
	}

	/**
	 * Test whether the candidate is worse over any time range that ends with the newest
	 * period. {@link SequentialTest#BAD_THRESHOLD} allows for the number of ranges that
	 * are tested, {@link SequentialTest#DEADLINE_THRESHOLD} doesn't.
	 * @param threshold the log likelihood ratio to exceed
	 * @return the label of the first outcome with a regression, or empty if there is none
	 */
	Optional<String> findRegression(double threshold) {
		for (BadOutcome outcome : BadOutcome.values()) {
			if (hasRegression(outcome, threshold)) {
				return Optional.of(outcome.label());
			}
		}
		return Optional.empty();
	}

	private boolean hasRegression(BadOutcome outcome, double threshold) {
		double overallShare = SequentialTest.estimateOverallShare(outcome, this.total.current());
		SequentialTest test = new SequentialTest();
		for (int period : new TreeMap<>(this.periods).descendingKeySet()) {
			TallyPair pair = this.periods.get(period);
			test.add(outcome, overallShare, pair.current(), pair.candidate());
			if (test.showsRegression(threshold)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Return how strongly the evidence supports the candidate, judged by the kind of
	 * outcome that supports it least.
	 * @return the log likelihood ratio in favour of the candidate
	 */
	double evidenceForCandidate() {
		double least = Double.MAX_VALUE;
		for (BadOutcome outcome : BadOutcome.values()) {
			double overallShare = SequentialTest.estimateOverallShare(outcome, this.total.current());
			double sum = 0;
			for (TallyPair pair : this.periods.values()) {
				sum += SequentialTest.logRatioForCandidate(outcome, overallShare, pair.current(), pair.candidate());
			}
			least = Math.min(least, sum);
		}
		return least;
	}

	@Override
	public String toString() {
		Tally candidate = this.total.candidate();
		Tally current = this.total.current();
		return String.format(Locale.ROOT,
				"candidate %d requests, %d failed, %d slow; current %d requests, %d failed, %d slow",
				candidate.requests(), candidate.failures(), candidate.slow(), current.requests(), current.failures(),
				current.slow());
	}

	private record TallyPair(Tally current, Tally candidate) {

		private static final TallyPair NONE = new TallyPair(Tally.NONE, Tally.NONE);

		private TallyPair plus(TallyPair other) {
			return new TallyPair(this.current.plus(other.current), this.candidate.plus(other.candidate));
		}

	}

}
