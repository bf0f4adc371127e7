package io.flamingogap.measure;

import java.util.List;
import java.util.stream.LongStream;

import io.flamingogap.measure.SimulatedRollout.Policy;
import io.flamingogap.measure.SimulatedRollout.Result;

/**
 * Rollouts of each kind of candidate at several rates, with the daemon's decisions and
 * with fixed steps.
 */
final class RolloutMeasure {

	private static final int SEEDS = 200;

	private static final double[] REQUESTS_PER_SECOND = { 10, 100, 8_000 };

	/** The log likelihood ratio that the first step takes, by the policy's test. */
	private static final double STEP_RATIO = Math.log(1_000);

	private static final double EXPLORATION_SHARE = 0.005;

	/** The deadline leaves three times the evidence time. */
	private static final double DEADLINE_TIMES = 3;

	void run() {
		for (double rate : REQUESTS_PER_SECOND) {
			Report.title("%.0f requests a second, deadline after three times the evidence time, %d seeds"
				.formatted(rate, SEEDS));
			for (CandidateKind kind : CandidateKind.values()) {
				for (Policy policy : Policy.values()) {
					measure(kind, policy, rate, lengthSeconds(kind, rate));
				}
			}
		}
	}

	/**
	 * Return the time until the deadline: three times that in which the exploration tells
	 * the version in use from one with twice its failures.
	 * @param kind the candidate
	 * @param rate the requests a second
	 * @return the time
	 */
	private static long lengthSeconds(CandidateKind kind, double rate) {
		double good = kind.baseFailure(0);
		double bad = Math.max(2 * good, good + 0.01);
		double evidence = good * Math.log(good / bad) + (1 - good) * Math.log((1 - good) / (1 - bad));
		return (long) Math.ceil(DEADLINE_TIMES * STEP_RATIO / evidence / (EXPLORATION_SHARE * rate));
	}

	private static void measure(CandidateKind kind, Policy policy, double rate, long lengthSeconds) {
		List<Result> results = LongStream.range(0, SEEDS)
			.parallel()
			.mapToObj((seed) -> new SimulatedRollout(kind, policy, rate, lengthSeconds, seed).run())
			.toList();
		long takenBack = results.stream().filter((result) -> result.takenBackAtShare() >= 0).count();
		long early = results.stream()
			.filter((result) -> result.takenBackAtShare() >= 0 && result.takenBackAtShare() < 0.5)
			.count();
		long done = results.stream().filter(Result::done).count();
		double reached = results.stream().mapToDouble(Result::exposedShare).average().orElse(0);
		double exposed = results.stream().mapToDouble(Result::exposedWhileBadShare).average().orElse(0);
		double worst = results.stream().mapToDouble(Result::exposedWhileBadShare).max().orElse(0);
		if (kind.isBad()) {
			Report.row(
					"%-18s %-12s taken back %5.1f %%, before half %5.1f %%, reached while bad mean %6.3f %% max %6.3f %%, in all mean %6.3f %%",
					kind, policy, percent(takenBack), percent(early), 100 * exposed, 100 * worst, 100 * reached);
		}
		else {
			Report.row("%-18s %-12s done %5.1f %%, taken back wrongly %5.1f %%", kind, policy, percent(done),
					percent(takenBack));
		}
	}

	private static double percent(long count) {
		return 100.0 * count / SEEDS;
	}

}
