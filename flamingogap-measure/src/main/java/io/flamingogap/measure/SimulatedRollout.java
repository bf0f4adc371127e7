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
 * Runs one rollout with simulated traffic and the decisions of a {@link Policy}.
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

	SimulatedRollout(CandidateKind kind, Policy policy, double requestsPerSecond, long durationSeconds, long seed) {
		this.kind = kind;
		this.policy = policy;
		this.requestsPerSecond = requestsPerSecond;
		this.rollout = new Rollout("assistant", "v2", List.of(), START_SECONDS, START_SECONDS + durationSeconds);
		this.random = new Random(seed);
	}

	Result run() {
		long total = 0;
		long exposed = 0;
		long exposedWhileBad = 0;
		double takenBackAtShare = -1;
		boolean done = false;
		double durationMillis = (this.rollout.deadlineEpochSeconds() - START_SECONDS) * 1_000.0;
		for (int tick = 0; tick <= TICKS; tick++) {
			double elapsed = (double) tick / TICKS;
			long nowMillis = START_SECONDS * 1_000 + (long) (elapsed * durationMillis);
			Verdict verdict = this.policy.decide(this.rollout, this.evidence, nowMillis);
			if (verdict.bad()) {
				takenBackAtShare = verdict.share();
				break;
			}
			done = verdict.share() >= 1;
			long requests = Math.round(this.requestsPerSecond * durationMillis / 1_000 / TICKS);
			total += requests;
			long toCandidate = simulateTraffic(requests, verdict.share(), elapsed, nowMillis);
			exposed += toCandidate;
			exposedWhileBad += this.kind.isBadAt(elapsed, verdict.share()) ? toCandidate : 0;
		}
		long expectedRequests = Math.round(this.requestsPerSecond * durationMillis / 1_000);
		return new Result(takenBackAtShare, done, (double) exposed / expectedRequests,
				(double) exposedWhileBad / expectedRequests, total);
	}

	private long simulateTraffic(long requests, double share, double elapsed, long nowMillis) {
		int period = RolloutPolicy.period(this.rollout, nowMillis);
		long candidate = 0;
		for (int route = 0; route < ROUTE_SHARES.length; route++) {
			long routed = draw(requests, ROUTE_SHARES[route]);
			long toCandidateOnRoute = draw(routed, share);
			candidate += toCandidateOnRoute;
			long failed = 0;
			for (int zone = 0; zone < ZONES; zone++) {
				failed += draw(toCandidateOnRoute / ZONES + ((zone < toCandidateOnRoute % ZONES) ? 1 : 0),
						this.kind.failure(elapsed, share, route, zone));
			}
			long slow = draw(toCandidateOnRoute - failed, this.kind.slow(elapsed, share));
			addTally(Arm.CANDIDATE, route, period, new Tally(toCandidateOnRoute, failed, slow));
			long toCurrent = routed - toCandidateOnRoute;
			long currentFailed = draw(toCurrent, this.kind.baseFailure(elapsed));
			addTally(Arm.CURRENT, route, period,
					new Tally(toCurrent, currentFailed, draw(toCurrent - currentFailed, this.kind.baseSlow(elapsed))));
		}
		return candidate;
	}

	private void addTally(Arm arm, int route, int period, Tally added) {
		Tally previous = this.tallies[arm.ordinal()][route][period];
		Tally sum = (previous != null) ? previous.plus(added) : added;
		this.tallies[arm.ordinal()][route][period] = sum;
		EvidenceKey key = new EvidenceKey(RolloutKey.of(this.rollout), new NodeId("entry-0", 1), arm, "route-" + route,
				period);
		this.evidence.merge(new EvidenceRow(key, sum));
	}

	/**
	 * Draw the number of successes of independent trials: trial by trial, from a Poisson
	 * distribution, or from a normal distribution, depending on the number of trials and
	 * the expected number of successes.
	 * @param trials the number of trials
	 * @param chance the probability of success, 0 to 1
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
	 * Ways to decide on the share of the candidate.
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

		/**
		 * Raises the share in fixed steps over time and takes the candidate back at a
		 * fixed failure rate.
		 */
		FIXED_STEPS {

			@Override
			Verdict decide(Rollout rollout, EvidenceTable evidence, long nowMillis) {
				double elapsed = (nowMillis / 1_000.0 - START_SECONDS)
						/ (rollout.deadlineEpochSeconds() - START_SECONDS);
				int step = (int) Math.min(FIXED_SHARES.length - 1, elapsed * FIXED_SHARES.length);
				Tally candidate = candidateTotal(rollout, evidence);
				boolean bad = candidate.requests() >= FIXED_MIN_REQUESTS
						&& candidate.failures() > FIXED_FAILURE_SHARE * candidate.requests();
				return new Verdict(bad, FIXED_SHARES[step]);
			}

		};

		private static Tally candidateTotal(Rollout rollout, EvidenceTable evidence) {
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
	 * Decision of a policy at one point in time.
	 *
	 * @param bad whether the candidate is taken back
	 * @param share the candidate's share of the traffic, 0 to 1; if it is taken back, its
	 * share until then
	 */
	record Verdict(boolean bad, double share) {
	}

	/**
	 * Result of a simulated rollout.
	 *
	 * @param takenBackAtShare the share at which the candidate was taken back; negative
	 * if it was not
	 * @param done whether all traffic had moved by the deadline
	 * @param exposedShare the requests that reached the candidate as a fraction of all
	 * requests until the deadline
	 * @param exposedWhileBadShare the requests that reached the candidate while it was
	 * worse than the version in use, as a fraction of all requests until the deadline
	 * @param requests the number of requests until the candidate was taken back or the
	 * deadline passed
	 */
	record Result(double takenBackAtShare, boolean done, double exposedShare, double exposedWhileBadShare,
			long requests) {
	}

}
