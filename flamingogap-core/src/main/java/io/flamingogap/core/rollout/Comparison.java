package io.flamingogap.core.rollout;

import java.util.Locale;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The counts of both versions, period by period. Versions are compared within a period,
 * so that trouble that strikes both doesn't tell against the one with more traffic then.
 */
final class Comparison {

	private final SortedMap<Integer, Pair> periods = new TreeMap<>();

	private Pair total = Pair.NONE;

	void add(int period, Arm arm, Tally tally) {
		Pair more = (arm == Arm.CURRENT) ? new Pair(tally, Tally.NONE) : new Pair(Tally.NONE, tally);
		this.periods.merge(period, more, Pair::plus);
		this.total = this.total.plus(more);
	}

	/**
	 * Look for the stretch of time up to now that tells most against the candidate. The
	 * threshold allows for the number of stretches looked at.
	 * @param threshold the log likelihood ratio to exceed
	 * @return what is bad, if anything is
	 */
	Optional<String> findBadness(double threshold) {
		for (BadOutcome outcome : BadOutcome.values()) {
			if (isBad(outcome, threshold)) {
				return Optional.of(outcome.label());
			}
		}
		return Optional.empty();
	}

	private boolean isBad(BadOutcome outcome, double threshold) {
		double allShare = SequentialTest.share(outcome, this.total.current());
		SequentialTest test = new SequentialTest();
		for (int period : new TreeMap<>(this.periods).descendingKeySet()) {
			Pair pair = this.periods.get(period);
			test.add(outcome, allShare, pair.current(), pair.candidate());
			if (test.isBad(threshold)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Return how strongly the evidence speaks for the candidate, by the outcome that does
	 * so least.
	 * @return a log likelihood ratio
	 */
	double goodness() {
		double least = Double.MAX_VALUE;
		for (BadOutcome outcome : BadOutcome.values()) {
			double allShare = SequentialTest.share(outcome, this.total.current());
			double sum = 0;
			for (Pair pair : this.periods.values()) {
				sum += SequentialTest.goodness(outcome, allShare, pair.current(), pair.candidate());
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

	private record Pair(Tally current, Tally candidate) {

		private static final Pair NONE = new Pair(Tally.NONE, Tally.NONE);

		private Pair plus(Pair other) {
			return new Pair(this.current.plus(other.current), this.candidate.plus(other.candidate));
		}

	}

}
