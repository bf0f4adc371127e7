package io.flamingogap.core.rollout;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.manifest.Rollout;

/**
 * Decides the share of a candidate from the manifest, the merged evidence and the time.
 * It keeps no state: nodes with the same evidence make the same decision, and a node that
 * lacks evidence gives the candidate a smaller share.
 */
public final class RolloutPolicy {

	/** Share of a candidate without evidence, in thousandths. */
	public static final int EXPLORATION_PERMILLE = 5;

	private static final int[] STEPS_PERMILLE = { EXPLORATION_PERMILLE, 50, 200, 500, RolloutDecision.ALL_PERMILLE };

	/**
	 * Earliest time of the last step, as a fraction of the time from start to deadline.
	 */
	private static final double LAST_STEP_FRACTION = 0.85;

	private static final int PERIODS_PER_ROLLOUT = 64;

	private static final long MIN_PERIOD_MILLIS = 2_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	private RolloutPolicy() {
	}

	/**
	 * Return the number of the current time period of a rollout. Evidence is counted by
	 * period.
	 * @param rollout the rollout in the manifest
	 * @param nowMillis the current time, in milliseconds since 1970 UTC
	 * @return the number, from 0; 0 before the start
	 */
	public static int period(Rollout rollout, long nowMillis) {
		long sinceMillis = Math.max(0, nowMillis - startMillis(rollout));
		return (int) Math.min(Integer.MAX_VALUE, sinceMillis / periodMillis(rollout));
	}

	private static long startMillis(Rollout rollout) {
		return rollout.startsAtEpochSeconds() * MILLIS_PER_SECOND;
	}

	private static long lengthMillis(Rollout rollout) {
		return (rollout.deadlineEpochSeconds() - rollout.startsAtEpochSeconds()) * MILLIS_PER_SECOND;
	}

	private static long periodMillis(Rollout rollout) {
		return Math.max(MIN_PERIOD_MILLIS, lengthMillis(rollout) / PERIODS_PER_ROLLOUT);
	}

	/**
	 * Decide the phase of a rollout and the share of its candidate.
	 * @param rollout the rollout in the manifest
	 * @param evidence the merged evidence
	 * @param takenBack the decision that ended the rollout, or {@code null} if there is
	 * none
	 * @param nowMillis the current time, in milliseconds since 1970 UTC
	 * @return the decision with its reason
	 */
	public static RolloutDecision decide(Rollout rollout, EvidenceTable evidence, @Nullable TakeBack takenBack,
			long nowMillis) {
		if (takenBack != null) {
			return new RolloutDecision(RolloutPhase.TAKEN_BACK, 0,
					"taken back by " + takenBack.by() + ": " + takenBack.reason());
		}
		if (nowMillis < startMillis(rollout)) {
			return new RolloutDecision(RolloutPhase.WAITING, 0, "before the start");
		}
		VersionComparison all = new VersionComparison();
		evidence.forEach(RolloutKey.of(rollout), (key, tally) -> all.add(key.period(), key.arm(), tally));
		int step = Math.min(stepByEvidence(all), stepByTime(rollout, nowMillis));
		return decision(step, all, isLate(rollout, nowMillis));
	}

	private static boolean isLate(Rollout rollout, long nowMillis) {
		return nowMillis >= rollout.deadlineEpochSeconds() * MILLIS_PER_SECOND;
	}

	private static RolloutDecision decision(int step, VersionComparison all, boolean late) {
		int sharePermille = STEPS_PERMILLE[step];
		if (sharePermille == RolloutDecision.ALL_PERMILLE) {
			return new RolloutDecision(RolloutPhase.DONE, sharePermille, all.toString());
		}
		RolloutPhase phase = (step == 0) ? RolloutPhase.EXPLORING : RolloutPhase.MOVING;
		return new RolloutDecision(late ? RolloutPhase.LATE : phase, sharePermille,
				(late ? "the evidence did not allow all traffic to move by the deadline: " : "") + all);
	}

	/**
	 * Return the highest step that the evidence allows. Each step needs the same amount
	 * of additional evidence, so that the candidate's share grows no faster than the
	 * evidence collected under load.
	 * @param all the evidence so far
	 * @return the index of the step, from 0
	 */
	private static int stepByEvidence(VersionComparison all) {
		double logRatio = all.evidenceForCandidate();
		int step = (int) Math.floor(logRatio / SequentialTest.STEP_THRESHOLD);
		return Math.max(0, Math.min(step, STEPS_PERMILLE.length - 1));
	}

	private static int stepByTime(Rollout rollout, long nowMillis) {
		double elapsedFraction = (double) (nowMillis - startMillis(rollout)) / lengthMillis(rollout);
		int step = (int) Math.floor(elapsedFraction / LAST_STEP_FRACTION * (STEPS_PERMILLE.length - 1));
		return Math.max(0, Math.min(step, STEPS_PERMILLE.length - 1));
	}

	/**
	 * Test whether a candidate is worse, on all routes together and on each route alone.
	 * @param rollout the rollout in the manifest
	 * @param evidence the merged evidence
	 * @param nowMillis the current time, in milliseconds since 1970 UTC
	 * @return the reason with the counts, or empty if the evidence shows no regression
	 */
	public static Optional<String> findRegression(Rollout rollout, EvidenceTable evidence, long nowMillis) {
		VersionComparison all = new VersionComparison();
		Map<String, VersionComparison> byRoute = new TreeMap<>();
		evidence.forEach(RolloutKey.of(rollout), (key, tally) -> {
			all.add(key.period(), key.arm(), tally);
			byRoute.computeIfAbsent(key.route(), (route) -> new VersionComparison())
				.add(key.period(), key.arm(), tally);
		});
		boolean overdue = isLate(rollout, nowMillis) && stepByEvidence(all) < STEPS_PERMILLE.length - 1;
		Optional<String> found = all
			.findRegression(overdue ? SequentialTest.DEADLINE_THRESHOLD : SequentialTest.BAD_THRESHOLD)
			.map((outcome) -> outcome + " on all routes together: " + all);
		for (Map.Entry<String, VersionComparison> route : byRoute.entrySet()) {
			VersionComparison comparison = route.getValue();
			found = found.or(() -> comparison.findRegression(SequentialTest.BAD_THRESHOLD)
				.map((outcome) -> outcome + " on " + route.getKey() + ": " + comparison));
		}
		return found;
	}

}
