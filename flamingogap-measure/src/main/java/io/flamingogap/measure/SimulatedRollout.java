package io.flamingogap.measure;

import java.util.List;
import java.util.Random;

import io.flamingogap.core.manifest.Rollout;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.core.rollout.EvidenceKey;
import io.flamingogap.core.rollout.EvidenceRow;
import io.flamingogap.core.rollout.EvidenceTable;
import io.flamingogap.core.rollout.RolloutDecision;
import io.flamingogap.core.rollout.RolloutKey;
import io.flamingogap.core.rollout.RolloutPhase;
import io.flamingogap.core.rollout.RolloutPolicy;
import io.flamingogap.core.rollout.Tally;

/**
 * One rollout with simulated traffic and real decisions.
 */
final class SimulatedRollout {

	private static final double[] ROUTE_SHARES = { 0.7, 0.2, 0.08, 0.02 };

	private static final int ZONES = 3;

	private static final int TICKS = 600;

	private static final long START_SECONDS = 1_000;

	private final CandidateKind kind;

	private final Policy policy;

	private final double requestsPerSecond;

	private final Rollout rollout;

	private final Random random;

	private final Tally[][][] tallies = new Tally[2][ROUTE_SHARES.length][TICKS + 2];

	private final EvidenceTable evidence = new EvidenceTable();

	SimulatedRollout(CandidateKind kind, Policy policy, double requestsPerSecond, long lengthSeconds, long seed) {
		this.kind = kind;
		this.policy = policy;
		this.requestsPerSecond = requestsPerSecond;
		this.rollout = new Rollout("assistant", "v2", List.of(), START_SECONDS, START_SECONDS + lengthSeconds);
		this.random = new Random(seed);
	}

	Result run() {
		long total = 0;
		long exposed = 0;
		long exposedWhileBad = 0;
		double takenBackAtShare = -1;
		boolean done = false;
		double lengthMillis = (this.rollout.deadlineEpochSeconds() - START_SECONDS) * 1_000.0;
		for (int tick = 0; tick <= TICKS; tick++) {
			double passed = (double) tick / TICKS;
			long nowMillis = START_SECONDS * 1_000 + (long) (passed * lengthMillis);
			Verdict verdict = this.policy.decide(this.rollout, this.evidence, nowMillis);
			if (verdict.bad()) {
				takenBackAtShare = verdict.share();
				break;
			}
			done = verdict.share() >= 1;
			long requests = Math.round(this.requestsPerSecond * lengthMillis / 1_000 / TICKS);
			total += requests;
			long reached = traffic(requests, verdict.share(), passed, nowMillis);
			exposed += reached;
			exposedWhileBad += this.kind.isBadAt(passed, verdict.share()) ? reached : 0;
		}
		long whole = Math.round(this.requestsPerSecond * lengthMillis / 1_000);
		return new Result(takenBackAtShare, done, (double) exposed / whole, (double) exposedWhileBad / whole, total);
	}

	private long traffic(long requests, double share, double passed, long nowMillis) {
		int period = RolloutPolicy.period(this.rollout, nowMillis);
		long candidate = 0;
		for (int route = 0; route < ROUTE_SHARES.length; route++) {
			long routed = draw(requests, ROUTE_SHARES[route]);
			long moved = draw(routed, share);
			candidate += moved;
			long failed = 0;
			for (int zone = 0; zone < ZONES; zone++) {
				failed += draw(moved / ZONES + ((zone < moved % ZONES) ? 1 : 0),
						this.kind.failure(passed, share, route, zone));
			}
			long slow = draw(moved - failed, this.kind.slow(passed, share));
			count(Arm.CANDIDATE, route, period, new Tally(moved, failed, slow));
			long kept = routed - moved;
			long keptFailed = draw(kept, this.kind.baseFailure(passed));
			count(Arm.CURRENT, route, period,
					new Tally(kept, keptFailed, draw(kept - keptFailed, this.kind.baseSlow(passed))));
		}
		return candidate;
	}

	private void count(Arm arm, int route, int period, Tally more) {
		Tally held = this.tallies[arm.ordinal()][route][period];
		Tally sum = (held != null) ? held.plus(more) : more;
		this.tallies[arm.ordinal()][route][period] = sum;
		EvidenceKey key = new EvidenceKey(RolloutKey.of(this.rollout), new NodeId("entry-0", 1), arm, "route-" + route,
				period);
		this.evidence.merge(new EvidenceRow(key, sum));
	}

	/**
	 * Draw the number of successes of independent trials: one by one, by Poisson, or by
	 * the normal distribution, whichever fits the expected number.
	 * @param trials the number of trials
	 * @param chance the chance of success
	 * @return the number of successes
	 */
	private long draw(long trials, double chance) {
		double expected = trials * chance;
		if (trials <= 50 || chance > 0.9) {
			return (trials <= 1_000) ? drawEach(trials, chance) : trials - draw(trials, 1 - chance);
		}
		if (expected < 30) {
			return Math.min(trials, drawPoisson(expected));
		}
		double deviation = Math.sqrt(expected * (1 - chance));
		return Math.max(0, Math.min(trials, Math.round(expected + deviation * this.random.nextGaussian())));
	}

	private long drawEach(long trials, double chance) {
		long successes = 0;
		for (long i = 0; i < trials; i++) {
			successes += (this.random.nextDouble() < chance) ? 1 : 0;
		}
		return successes;
	}

	private long drawPoisson(double expected) {
		double limit = Math.exp(-expected);
		double product = this.random.nextDouble();
		long count = 0;
		while (product > limit) {
			product *= this.random.nextDouble();
			count++;
		}
		return count;
	}

	/**
	 * Ways to decide.
	 */
	enum Policy {

		/** The decisions of the daemon. */
		EVIDENCE {

			@Override
			Verdict decide(Rollout rollout, EvidenceTable evidence, long nowMillis) {
				if (RolloutPolicy.findRegression(rollout, evidence, nowMillis).isPresent()) {
					RolloutDecision decision = RolloutPolicy.decide(rollout, evidence, null, nowMillis);
					return new Verdict(true, decision.sharePermille() / 1_000.0);
				}
				RolloutDecision decision = RolloutPolicy.decide(rollout, evidence, null, nowMillis);
				boolean moving = decision.phase() != RolloutPhase.WAITING;
				return new Verdict(false, moving ? decision.sharePermille() / 1_000.0 : 0);
			}

		},

		/** Fixed steps in time, taken back at a fixed share of failures. */
		FIXED_STEPS {

			@Override
			Verdict decide(Rollout rollout, EvidenceTable evidence, long nowMillis) {
				double passed = (nowMillis / 1_000.0 - START_SECONDS)
						/ (rollout.deadlineEpochSeconds() - START_SECONDS);
				int step = (int) Math.min(FIXED_SHARES.length - 1, passed * FIXED_SHARES.length);
				Tally candidate = total(rollout, evidence);
				boolean bad = candidate.requests() >= FIXED_MIN_REQUESTS
						&& candidate.failures() > FIXED_FAILURE_SHARE * candidate.requests();
				return new Verdict(bad, FIXED_SHARES[step]);
			}

		};

		private static Tally total(Rollout rollout, EvidenceTable evidence) {
			Tally[] sum = { Tally.NONE };
			evidence.forEach(RolloutKey.of(rollout), (key, tally) -> {
				if (key.arm() == Arm.CANDIDATE) {
					sum[0] = sum[0].plus(tally);
				}
			});
			return sum[0];
		}

		private static final double[] FIXED_SHARES = { 0.05, 0.25, 0.5, 1 };

		private static final double FIXED_FAILURE_SHARE = 0.02;

		private static final int FIXED_MIN_REQUESTS = 100;

		abstract Verdict decide(Rollout rollout, EvidenceTable evidence, long nowMillis);

	}

	/**
	 * A decision.
	 *
	 * @param bad whether the candidate is taken back
	 * @param share its share until then
	 */
	record Verdict(boolean bad, double share) {
	}

	/**
	 * What became of a rollout.
	 *
	 * @param takenBackAtShare the share at which it was taken back; negative if it was
	 * not
	 * @param done whether all traffic had moved by the deadline
	 * @param exposedShare the requests that reached the candidate, of all until the
	 * deadline
	 * @param exposedWhileBadShare those that reached it while it was bad
	 * @param requests the requests until the end
	 */
	record Result(double takenBackAtShare, boolean done, double exposedShare, double exposedWhileBadShare,
			long requests) {
	}

}
