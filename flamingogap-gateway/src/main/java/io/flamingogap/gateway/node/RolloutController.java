package io.flamingogap.gateway.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.rollout.AdaptiveLatencyThreshold;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.core.rollout.Tally;
import io.flamingogap.core.rollout.TimedCanary;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.relay.VersionSelector;
import io.flamingogap.gateway.store.RecordCodec.RolloutOrder;
import io.flamingogap.gateway.store.RecordCodec.RolloutStatus;

/**
 * The rollouts of services: gives each version its share of requests and counts outcomes.
 * Every node stops sending to a bad version on its own; the holder of the duties tells
 * operators.
 */
public final class RolloutController implements VersionSelector {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Map<String, Move> moves = new HashMap<>();

	private final Map<String, RolloutStatus> statuses = new HashMap<>();

	private boolean statusesKnown;

	private final ServerTable servers;

	private final FleetView fleet;

	private final RandomGenerator random;

	private final double exploredShare;

	/**
	 * Create without rollouts.
	 * @param servers the backend servers
	 * @param fleet the reports of other nodes
	 * @param random draws the requests that explore a version
	 * @param exploredShare the share of requests that explores a version
	 */
	public RolloutController(ServerTable servers, FleetView fleet, RandomGenerator random, double exploredShare) {
		this.servers = servers;
		this.fleet = fleet;
		this.random = random;
		this.exploredShare = exploredShare;
	}

	/**
	 * Take an order.
	 * @param order the order
	 * @param offset its position in the store; orders that were seen are ignored
	 * @param nowMillis the present time
	 */
	public void applyOrder(RolloutOrder order, long offset, long nowMillis) {
		Move known = this.moves.get(order.service());
		if (known != null && offset <= known.offset) {
			return;
		}
		Move move = new Move(order, offset, nowMillis);
		RolloutStatus told = this.statuses.get(order.service());
		if (known == null && told != null && told.target().equals(order.target())) {
			move.state = told.state();
		}
		this.moves.put(order.service(), move);
		logger.atInfo()
			.log("%s",
					LogLine.of("rollout ordered")
						.with("service", order.service())
						.with("target", order.target())
						.with("withinMillis", order.withinMillis())
						.with("offset", offset));
	}

	/**
	 * Return whether operators' statuses should be read again.
	 * @return {@code true} while a rollout is under way
	 */
	public boolean hasRunningRollout() {
		return this.moves.values().stream().anyMatch((move) -> move.state == RolloutStatus.State.RUNNING);
	}

	/**
	 * Record that all statuses were read. Until then no version is explored, since a
	 * rollout may have ended before this node started.
	 */
	public void markStatusesLoaded() {
		this.statusesKnown = true;
	}

	/**
	 * Take what operators were told.
	 * @param status the status
	 */
	public void recordPublishedStatus(RolloutStatus status) {
		this.statuses.put(status.service(), status);
		Move move = this.moves.get(status.service());
		if (move != null && move.order.target().equals(status.target()) && status.state() != RolloutStatus.State.RUNNING
				&& move.state == RolloutStatus.State.RUNNING) {
			end(move, status.state(), "told by the holder of the duties");
		}
	}

	/**
	 * Decide the rollouts on the evidence of all nodes.
	 * @param nowMillis the present time
	 */
	public void evaluate(long nowMillis) {
		if (!this.statusesKnown) {
			return;
		}
		for (Move move : this.moves.values()) {
			if (move.state != RolloutStatus.State.RUNNING) {
				continue;
			}
			TimedCanary trial = trial(move);
			double part = move.part(nowMillis);
			Optional<String> badness = trial.findRegression();
			if (badness.isPresent()) {
				end(move, RolloutStatus.State.REVERTED, badness.get());
				continue;
			}
			move.share = trial.candidateShare(part);
			if (trial.mayComplete(part) && hasServers(move, true)) {
				end(move, RolloutStatus.State.DONE, trial.toString());
			}
		}
	}

	private boolean hasServers(Move move, boolean target) {
		return this.servers.ofService(move.order.service())
			.stream()
			.anyMatch((server) -> server.takesRequests() && move.isTarget(server.registration()) == target);
	}

	private TimedCanary trial(Move move) {
		TimedCanary trial = new TimedCanary(this.exploredShare);
		move.tallies.forEach((key, tally) -> trial.add(move.arm(key.version()), key.route(), tally));
		for (NodeReport report : this.fleet.recentReports()) {
			for (NodeReport.VersionTally row : report.tallies()) {
				if (row.service().equals(move.order.service())) {
					trial.add(move.arm(row.version()), row.route(), row.tally());
				}
			}
		}
		return trial;
	}

	private static void end(Move move, RolloutStatus.State state, String reason) {
		move.state = state;
		logger.atInfo()
			.log("%s",
					LogLine.of("rollout ended")
						.with("service", move.order.service())
						.with("target", move.order.target())
						.with("state", state.name())
						.with("reason", reason));
	}

	/**
	 * Return what operators should be told and were not told yet.
	 * @return the statuses
	 */
	public List<RolloutStatus> unpublishedStatuses() {
		if (!this.statusesKnown) {
			return List.of();
		}
		List<RolloutStatus> untold = new ArrayList<>();
		this.moves.forEach((service, move) -> {
			RolloutStatus status = new RolloutStatus(service, move.order.target(), move.state);
			if (!status.equals(this.statuses.get(service))) {
				untold.add(status);
			}
		});
		return untold;
	}

	/**
	 * Return the outcomes that this node counted in rollouts that are under way.
	 * @return the tallies
	 */
	public List<NodeReport.VersionTally> tallies() {
		List<NodeReport.VersionTally> rows = new ArrayList<>();
		this.moves.forEach((service, move) -> {
			if (move.state == RolloutStatus.State.RUNNING) {
				move.tallies.forEach((key, tally) -> rows
					.add(new NodeReport.VersionTally(service, key.version(), key.route(), tally)));
			}
		});
		return rows;
	}

	@Override
	public Predicate<KnownServer> versionFilter(String service, RouteRule route) {
		Move move = this.moves.get(service);
		if (move == null) {
			return (server) -> true;
		}
		boolean toTarget = switch (move.state) {
			case DONE -> true;
			case REVERTED -> false;
			case RUNNING -> this.random.nextDouble() < move.share;
		};
		if (move.state != RolloutStatus.State.REVERTED && !hasServers(move, toTarget)) {
			return (server) -> true;
		}
		return (server) -> move.isTarget(server.registration()) == toTarget;
	}

	@Override
	public Predicate<KnownServer> versionFilterForRetry(String service) {
		Move move = this.moves.get(service);
		if (move == null || (move.state == RolloutStatus.State.RUNNING && !hasServers(move, false))) {
			return (server) -> true;
		}
		boolean toTarget = move.state == RolloutStatus.State.DONE;
		return (server) -> move.isTarget(server.registration()) == toTarget;
	}

	@Override
	public void recordOutcome(ServerRegistration server, RouteRule route, boolean failed, long latencyMillis) {
		Move move = this.moves.get(server.service());
		if (move != null && move.state == RolloutStatus.State.RUNNING) {
			move.record(server, route, failed, latencyMillis);
		}
	}

	private record TallyKey(String version, String route) {
	}

	private static final class Move {

		private final RolloutOrder order;

		private final long offset;

		private final long startedAtMillis;

		private final Map<TallyKey, Tally> tallies = new HashMap<>();

		private final Map<String, AdaptiveLatencyThreshold> thresholds = new HashMap<>();

		private RolloutStatus.State state = RolloutStatus.State.RUNNING;

		private double share;

		private Move(RolloutOrder order, long offset, long startedAtMillis) {
			this.order = order;
			this.offset = offset;
			this.startedAtMillis = startedAtMillis;
		}

		private boolean isTarget(ServerRegistration server) {
			return server.version().equals(this.order.target());
		}

		private Arm arm(String version) {
			return version.equals(this.order.target()) ? Arm.CANDIDATE : Arm.CURRENT;
		}

		private double part(long nowMillis) {
			return (double) (nowMillis - this.startedAtMillis) / Math.max(1, this.order.withinMillis());
		}

		private void record(ServerRegistration server, RouteRule route, boolean failed, long latencyMillis) {
			AdaptiveLatencyThreshold threshold = this.thresholds.computeIfAbsent(route.name(),
					(name) -> new AdaptiveLatencyThreshold(route.latencyTargetMillis()));
			boolean slow = !failed && threshold.isSlow(latencyMillis);
			if (!failed && !isTarget(server)) {
				threshold.update(latencyMillis);
			}
			Tally one = new Tally(1, failed ? 1 : 0, slow ? 1 : 0);
			this.tallies.merge(new TallyKey(server.version(), route.name()), one, Tally::plus);
		}

	}

}
