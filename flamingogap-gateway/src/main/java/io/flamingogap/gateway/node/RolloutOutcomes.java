package io.flamingogap.gateway.node;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import io.flamingogap.core.rollout.AdaptiveLatencyThreshold;
import io.flamingogap.core.rollout.Tally;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.gateway.relay.DispatchObservation;

/**
 * Counts the outcomes of this node's dispatches during one rollout, by version and route.
 */
final class RolloutOutcomes {

	private final String targetVersion;

	private final Map<TallyKey, Tally> tallies = new HashMap<>();

	private final Map<String, AdaptiveLatencyThreshold> thresholds = new HashMap<>();

	/** The dispatches that are neither answered nor counted as late. */
	private final Set<Observation> unanswered = new LinkedHashSet<>();

	/**
	 * Create counts without outcomes.
	 * @param targetVersion the version that the rollout moves the service to
	 */
	RolloutOutcomes(String targetVersion) {
		this.targetVersion = targetVersion;
	}

	DispatchObservation observe(ServerRegistration server, RouteRule route, long nowMillis) {
		Observation observation = new Observation(server, route, nowMillis);
		this.unanswered.add(observation);
		return observation;
	}

	/**
	 * Count the dispatches as slow whose answer is late. A version that gets slower the
	 * more requests it has would otherwise be judged by its fast answers.
	 * @param nowMillis the current time on the monotonic clock
	 */
	void countLateDispatches(long nowMillis) {
		this.unanswered.removeIf((observation) -> observation.countIfLate(nowMillis));
	}

	/**
	 * Return the counts.
	 * @return a live view by version and route
	 */
	Map<TallyKey, Tally> tallies() {
		return this.tallies;
	}

	/**
	 * Key of a count.
	 *
	 * @param version the version of the server
	 * @param route the name of the route
	 */
	record TallyKey(String version, String route) {
	}

	/**
	 * Observation of one dispatch, which counts once, as answered or as late, and once
	 * more if it fails.
	 */
	private final class Observation implements DispatchObservation {

		private static final Tally FAILURE = new Tally(1, 1, 0);

		private final ServerRegistration server;

		private final RouteRule route;

		private final long sentAtMillis;

		private Observation(ServerRegistration server, RouteRule route, long sentAtMillis) {
			this.server = server;
			this.route = route;
			this.sentAtMillis = sentAtMillis;
		}

		@Override
		public void onAnswer(long nowMillis) {
			if (RolloutOutcomes.this.unanswered.remove(this)) {
				countLatency(nowMillis - this.sentAtMillis);
			}
		}

		@Override
		public void onFailure(long nowMillis) {
			RolloutOutcomes.this.unanswered.remove(this);
			count(FAILURE);
		}

		@Override
		public void discard() {
			RolloutOutcomes.this.unanswered.remove(this);
		}

		private boolean countIfLate(long nowMillis) {
			long waitedMillis = nowMillis - this.sentAtMillis;
			boolean late = threshold().isSlow(waitedMillis);
			if (late) {
				countLatency(waitedMillis);
			}
			return late;
		}

		private void countLatency(long latencyMillis) {
			Tally outcome = new Tally(1, 0, threshold().isSlow(latencyMillis) ? 1 : 0);
			// Only latencies of other versions update the threshold, so a slow target
			// version doesn't raise it.
			if (!this.server.version().equals(RolloutOutcomes.this.targetVersion)) {
				threshold().update(latencyMillis);
			}
			count(outcome);
		}

		private AdaptiveLatencyThreshold threshold() {
			return RolloutOutcomes.this.thresholds.computeIfAbsent(this.route.name(),
					(name) -> new AdaptiveLatencyThreshold(this.route.latencyTargetMillis()));
		}

		private void count(Tally outcome) {
			RolloutOutcomes.this.tallies.merge(new TallyKey(this.server.version(), this.route.name()), outcome,
					Tally::plus);
		}

	}

}
