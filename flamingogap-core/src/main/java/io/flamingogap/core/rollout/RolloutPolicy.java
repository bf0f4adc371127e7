package io.flamingogap.core.rollout;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.manifest.Rollout;

/**
 * Decides the share of a candidate from the manifest, the merged evidence and the time.
 * No state of its own: nodes with the same evidence decide alike, and a node that lacks
 * some gives the candidate less.
 */
public final class RolloutPolicy {

	/** The share that explores a candidate without evidence, in thousandths. */
	public static final int EXPLORATION_PERMILLE = 5;

	private static final int[] STEPS_PERMILLE = { EXPLORATION_PERMILLE, 50, 200, 500, RolloutDecision.ALL_PERMILLE };

	/** The part of the time until the deadline by which the last step may be taken. */
	private static final double LAST_STEP_AT = 0.85;

	private static final int PERIODS = 64;

	private static final long MIN_PERIOD_MILLIS = 2_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	private RolloutPolicy() {
	}

	/**
	 * Return the number of the time period of a rollout.
	 * @param rollout the rollout
	 * @param nowMillis the present time
	 * @return the number, from 0
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
		return Math.max(MIN_PERIOD_MILLIS, lengthMillis(rollout) / PERIODS);
	}

	/**
	 * Decide what to do about a rollout.
	 * @param rollout the rollout
	 * @param evidence the merged evidence
	 * @param takenBack the decision that ended it, if any
	 * @param nowMillis the present time
	 * @return the decision
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
		Comparison all = new Comparison();
		evidence.forEach(RolloutKey.of(rollout), (key, tally) -> all.add(key.period(), key.arm(), tally));
		int step = Math.min(stepByEvidence(all), stepByTime(rollout, nowMillis));
		return decision(step, all, isLate(rollout, nowMillis));
	}

	private static boolean isLate(Rollout rollout, long nowMillis) {
		return nowMillis >= rollout.deadlineEpochSeconds() * MILLIS_PER_SECOND;
	}

	private static RolloutDecision decision(int step, Comparison all, boolean late) {
		int sharePermille = STEPS_PERMILLE[step];
		if (sharePermille == RolloutDecision.ALL_PERMILLE) {
			return new RolloutDecision(RolloutPhase.DONE, sharePermille, all.toString());
		}
		RolloutPhase phase = (step == 0) ? RolloutPhase.EXPLORING : RolloutPhase.MOVING;
		return new RolloutDecision(late ? RolloutPhase.LATE : phase, sharePermille,
				(late ? "too little evidence by the deadline: " : "") + all);
	}

	/**
	 * Each step takes as much evidence again as the one before, so that the load at which
	 * a candidate has been seen keeps pace with its share.
	 * @param all the evidence so far
	 * @return the highest step that the evidence allows
	 */
	private static int stepByEvidence(Comparison all) {
		double strength = all.goodness();
		int step = (int) Math.floor(strength / SequentialTest.THRESHOLD);
		return Math.max(0, Math.min(step, STEPS_PERMILLE.length - 1));
	}

	private static int stepByTime(Rollout rollout, long nowMillis) {
		double passed = (double) (nowMillis - startMillis(rollout)) / lengthMillis(rollout);
		int step = (int) Math.floor(passed / LAST_STEP_AT * (STEPS_PERMILLE.length - 1));
		return Math.max(0, Math.min(step, STEPS_PERMILLE.length - 1));
	}

	/**
	 * Look for evidence that a candidate is bad, on all routes together and on each
	 * alone.
	 * @param rollout the rollout
	 * @param evidence the merged evidence
	 * @param nowMillis the present time
	 * @return why the candidate is bad, if it is
	 */
	public static Optional<String> findRegression(Rollout rollout, EvidenceTable evidence, long nowMillis) {
		Comparison all = new Comparison();
		Map<String, Comparison> byRoute = new TreeMap<>();
		evidence.forEach(RolloutKey.of(rollout), (key, tally) -> {
			all.add(key.period(), key.arm(), tally);
			byRoute.computeIfAbsent(key.route(), (route) -> new Comparison()).add(key.period(), key.arm(), tally);
		});
		boolean undecided = isLate(rollout, nowMillis) && stepByEvidence(all) < STEPS_PERMILLE.length - 1;
		Optional<String> found = all
			.findBadness(undecided ? SequentialTest.LATE_THRESHOLD : SequentialTest.BAD_THRESHOLD)
			.map((what) -> what + " in all: " + all);
		for (Map.Entry<String, Comparison> route : byRoute.entrySet()) {
			Comparison alone = route.getValue();
			found = found.or(() -> alone.findBadness(SequentialTest.BAD_THRESHOLD)
				.map((what) -> what + " on " + route.getKey() + ": " + alone));
		}
		return found;
	}

}
