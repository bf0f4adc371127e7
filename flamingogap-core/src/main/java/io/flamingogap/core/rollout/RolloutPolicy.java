package io.flamingogap.core.rollout;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntPredicate;
import java.util.function.ToLongFunction;

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
	private static final double LAST_STEP_AT = 0.6;

	private static final int PERIODS = 64;

	private static final long MIN_PERIOD_MILLIS = 2_000;

	/** The periods that are also judged alone, to see a change late in a rollout. */
	private static final int RECENT_PERIODS = 4;

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
		Sums all = Sums.of(evidence, RolloutKey.of(rollout), (period) -> true);
		int step = Math.min(stepByEvidence(all), stepByTime(rollout, nowMillis));
		return decision(step, all, isLate(rollout, nowMillis));
	}

	private static boolean isLate(Rollout rollout, long nowMillis) {
		return nowMillis >= rollout.deadlineEpochSeconds() * MILLIS_PER_SECOND;
	}

	private static RolloutDecision decision(int step, Sums all, boolean late) {
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
	private static int stepByEvidence(Sums all) {
		double strength = Math.min(all.goodness(Tally::failures), all.goodness(Tally::slow));
		int step = (int) Math.floor(strength / SequentialTest.THRESHOLD);
		return Math.max(0, Math.min(step, STEPS_PERMILLE.length - 1));
	}

	private static int stepByTime(Rollout rollout, long nowMillis) {
		double passed = (double) (nowMillis - startMillis(rollout)) / lengthMillis(rollout);
		int step = (int) Math.floor(passed / LAST_STEP_AT * (STEPS_PERMILLE.length - 1));
		return Math.max(0, Math.min(step, STEPS_PERMILLE.length - 1));
	}

	/**
	 * Look for evidence that a candidate is bad: in all, in the recent periods, and on
	 * each route alone.
	 * @param rollout the rollout
	 * @param evidence the merged evidence
	 * @param nowMillis the present time
	 * @return why the candidate is bad, if it is
	 */
	public static Optional<String> findBadness(Rollout rollout, EvidenceTable evidence, long nowMillis) {
		RolloutKey key = RolloutKey.of(rollout);
		int firstRecent = period(rollout, nowMillis) - RECENT_PERIODS + 1;
		return findBadness("in all", evidence, key, (period) -> true)
			.or(() -> findBadness("recently", evidence, key, (period) -> period >= firstRecent));
	}

	private static Optional<String> findBadness(String when, EvidenceTable evidence, RolloutKey key,
			IntPredicate periods) {
		Map<String, Tally> current = evidence.byRoute(key, Arm.CURRENT, periods);
		Map<String, Tally> candidate = evidence.byRoute(key, Arm.CANDIDATE, periods);
		Sums total = new Sums(sum(current), sum(candidate));
		Optional<String> found = total.badness(when);
		for (Map.Entry<String, Tally> route : candidate.entrySet()) {
			Sums alone = new Sums(current.getOrDefault(route.getKey(), Tally.NONE), route.getValue());
			found = found.or(() -> alone.badness(when + " on " + route.getKey()));
		}
		return found;
	}

	private static Tally sum(Map<String, Tally> byRoute) {
		return byRoute.values().stream().reduce(Tally.NONE, Tally::plus);
	}

	/**
	 * The evidence of both versions, added up.
	 *
	 * @param current the version in use
	 * @param candidate the version that takes over
	 */
	private record Sums(Tally current, Tally candidate) {

		static Sums of(EvidenceTable evidence, RolloutKey key, IntPredicate periods) {
			return new Sums(sum(evidence.byRoute(key, Arm.CURRENT, periods)),
					sum(evidence.byRoute(key, Arm.CANDIDATE, periods)));
		}

		double goodness(ToLongFunction<Tally> bad) {
			return SequentialTest.goodness(this.current.requests(), bad.applyAsLong(this.current),
					this.candidate.requests(), bad.applyAsLong(this.candidate));
		}

		private boolean isBad(ToLongFunction<Tally> bad) {
			return SequentialTest.badness(this.current.requests(), bad.applyAsLong(this.current),
					this.candidate.requests(), bad.applyAsLong(this.candidate)) > SequentialTest.THRESHOLD;
		}

		Optional<String> badness(String where) {
			if (isBad(Tally::failures)) {
				return Optional.of("failures " + where + ": " + this);
			}
			if (isBad(Tally::slow)) {
				return Optional.of("slow answers " + where + ": " + this);
			}
			return Optional.empty();
		}

		@Override
		public String toString() {
			return String.format(Locale.ROOT,
					"candidate %d requests, %d failed, %d slow; current %d requests, %d failed, %d slow",
					this.candidate.requests(), this.candidate.failures(), this.candidate.slow(),
					this.current.requests(), this.current.failures(), this.current.slow());
		}

	}

}
