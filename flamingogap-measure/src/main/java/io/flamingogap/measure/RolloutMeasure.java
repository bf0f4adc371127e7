package io.flamingogap.measure;

import java.util.List;
import java.util.stream.LongStream;

import io.flamingogap.measure.SimulatedRollout.Policy;
import io.flamingogap.measure.SimulatedRollout.Result;

/**
 * Simulates rollouts of each kind of candidate at several request rates, and compares the
 * daemon's decisions with fixed steps.
 */
final class RolloutMeasure {

	private static final int RUNS_PER_CASE = 200;

	private static final double[] REQUESTS_PER_SECOND = { 10, 100, 8_000 };

	/** Log likelihood ratio that the policy's test requires for the first step. */
	private static final double FIRST_STEP_LOG_RATIO = Math.log(1_000);

	private static final double EXPLORATION_SHARE = 0.005;

	/** Time until the deadline as a multiple of the time that the evidence takes. */
	private static final double DEADLINE_FACTOR = 3;

	void run() {
		for (double rate : REQUESTS_PER_SECOND) {
			Report.title("%.0f requests a second, deadline after three times the evidence time, %d seeds"
				.formatted(rate, RUNS_PER_CASE));
			for (CandidateKind kind : CandidateKind.values()) {
				for (Policy policy : Policy.values()) {
					measure(kind, policy, rate, durationSeconds(kind, rate));
				}
			}
		}
	}

	/**
	 * Return the time until the deadline: three times the time in which the exploration
	 * can distinguish the version in use from one that fails twice as often, and at least
	 * one percentage point more often.
	 * @param kind the kind of candidate
	 * @param rate the number of requests per second
	 * @return the time in seconds, rounded up
	 */
	private static long durationSeconds(CandidateKind kind, double rate) {
		double baseFailureRate = kind.baseFailure(0);
		double worseFailureRate = Math.max(2 * baseFailureRate, baseFailureRate + 0.01);
		double evidencePerRequest = baseFailureRate * Math.log(baseFailureRate / worseFailureRate)
				+ (1 - baseFailureRate) * Math.log((1 - baseFailureRate) / (1 - worseFailureRate));
		return (long) Math
			.ceil(DEADLINE_FACTOR * FIRST_STEP_LOG_RATIO / evidencePerRequest / (EXPLORATION_SHARE * rate));
	}

	private static void measure(CandidateKind kind, Policy policy, double rate, long durationSeconds) {
		List<Result> results = LongStream.range(0, RUNS_PER_CASE)
			.parallel()
			.mapToObj((seed) -> new SimulatedRollout(kind, policy, rate, durationSeconds, seed).run())
			.toList();
		long takenBack = results.stream().filter((result) -> result.takenBackAtShare() >= 0).count();
		long takenBackBeforeHalf = results.stream()
			.filter((result) -> result.takenBackAtShare() >= 0 && result.takenBackAtShare() < 0.5)
			.count();
		long done = results.stream().filter(Result::done).count();
		double exposedInAll = results.stream().mapToDouble(Result::exposedShare).average().orElse(0);
		double exposedWhileBad = results.stream().mapToDouble(Result::exposedWhileBadShare).average().orElse(0);
		double maxExposedWhileBad = results.stream().mapToDouble(Result::exposedWhileBadShare).max().orElse(0);
		if (kind.isBad()) {
			Report.row(
					"%-18s %-12s taken back %5.1f %%, before half %5.1f %%, reached while bad mean %6.3f %% max %6.3f %%, in all mean %6.3f %%",
					kind, policy, percent(takenBack), percent(takenBackBeforeHalf), 100 * exposedWhileBad,
					100 * maxExposedWhileBad, 100 * exposedInAll);
		}
		else {
			Report.row("%-18s %-12s done %5.1f %%, taken back wrongly %5.1f %%", kind, policy, percent(done),
					percent(takenBack));
		}
	}

	private static double percent(long count) {
		return 100.0 * count / RUNS_PER_CASE;
	}

}
