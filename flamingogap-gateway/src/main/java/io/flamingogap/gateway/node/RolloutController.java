package io.flamingogap.gateway.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.core.rollout.TimedCanary;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.relay.DispatchObservation;
import io.flamingogap.gateway.relay.VersionSelector;
import io.flamingogap.gateway.store.RecordCodec.RolloutOrder;
import io.flamingogap.gateway.store.RecordCodec.RolloutStatus;

/**
 * Moves services to other versions as operators order: splits requests between the
 * versions, counts their outcomes and reverts a target version that performs worse. Each
 * node decides by itself, on the counts of all nodes, how many requests the target
 * version gets and when to revert it. Only the node that holds the duties completes a
 * rollout: the status that it publishes for operators ends the rollout on all nodes.
 */
public final class RolloutController implements VersionSelector {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Lower than the offset of any record. */
	private static final long UNKNOWN_OFFSET = -1;

	private final Map<String, ServiceRollout> rolloutsByService = new HashMap<>();

	/** Orders that may be older than those that this node follows. */
	private final Map<String, HeldOrder> heldOrders = new HashMap<>();

	private long ordersHeldUntilMillis = Long.MIN_VALUE;

	private final Map<String, RolloutStatus> publishedStatuses = new HashMap<>();

	private boolean publishedStatusesLoaded;

	private final ServerTable servers;

	private final FleetView fleet;

	private final RandomGenerator random;

	private final double explorationShare;

	/**
	 * Create a controller without rollouts.
	 * @param servers the backend servers
	 * @param fleet the reports of other nodes, with their counts of outcomes
	 * @param random draws the version for each request
	 * @param explorationShare the share of requests, from 0 to 1, that goes to the target
	 * version in the first phase of a rollout
	 */
	public RolloutController(ServerTable servers, FleetView fleet, RandomGenerator random, double explorationShare) {
		this.servers = servers;
		this.fleet = fleet;
		this.random = random;
		this.explorationShare = explorationShare;
	}

	/**
	 * Start the rollout that an operator ordered, in place of an earlier one of the same
	 * service. The rollout may have ended before this node started: the first order that
	 * the node reads for a service takes the state published for the same target, if that
	 * was read before; otherwise {@link #recordPublishedStatus} ends the rollout later.
	 * @param order the order
	 * @param offset the offset of its record in the store; an order at or before the
	 * offset of the service's current order is ignored, as is the current order that is
	 * written again after a return of the store
	 * @param nowMillis the current time on the monotonic clock
	 */
	public void applyOrder(RolloutOrder order, long offset, long nowMillis) {
		ServiceRollout previous = this.rolloutsByService.get(order.service());
		if (previous != null && offset <= previous.offset) {
			return;
		}
		boolean mayBeWrittenAgain = nowMillis < this.ordersHeldUntilMillis;
		if (previous != null && order.equals(previous.order)
				&& (mayBeWrittenAgain || previous.offset == UNKNOWN_OFFSET)) {
			previous.offset = offset;
			this.heldOrders.remove(order.service());
		}
		else if (previous != null && mayBeWrittenAgain && previous.offset == UNKNOWN_OFFSET) {
			this.heldOrders.put(order.service(), new HeldOrder(order, offset));
			logger.atInfo()
				.log("%s",
						LogLine.of("rollout order held")
							.with("service", order.service())
							.with("target", order.target())
							.with("offset", offset)
							.with("followed", previous.order.target()));
		}
		else {
			begin(order, offset, nowMillis);
		}
	}

	private void begin(RolloutOrder order, long offset, long nowMillis) {
		ServiceRollout previous = this.rolloutsByService.get(order.service());
		this.heldOrders.remove(order.service());
		ServiceRollout rollout = new ServiceRollout(order, offset, nowMillis);
		RolloutStatus published = this.publishedStatuses.get(order.service());
		if (previous == null && published != null && published.target().equals(order.target())) {
			rollout.state = published.state();
		}
		this.rolloutsByService.put(order.service(), rollout);
		logger.atInfo()
			.log("%s",
					LogLine.of("rollout ordered")
						.with("service", order.service())
						.with("target", order.target())
						.with("withinMillis", order.withinMillis())
						.with("offset", offset));
	}

	/**
	 * Forget the offsets of all orders and what was published, because the store has
	 * returned from an earlier copy and may have lost both. Rollouts go on, or stay
	 * ended.
	 * @param heldUntilMillis the time by the monotonic clock, in milliseconds, by which
	 * operators have written the lost orders again. Until then, another order for a
	 * service isn't followed unless the known one has been read before it
	 */
	public void forgetStoredRecords(long heldUntilMillis) {
		this.rolloutsByService.values().forEach((rollout) -> rollout.offset = UNKNOWN_OFFSET);
		this.publishedStatuses.clear();
		this.heldOrders.clear();
		this.ordersHeldUntilMillis = heldUntilMillis;
	}

	/**
	 * Return whether any rollout is running, so that the published statuses have to be
	 * read again.
	 * @return {@code true} while at least one rollout has not ended
	 */
	public boolean hasRunningRollout() {
		return this.rolloutsByService.values()
			.stream()
			.anyMatch((rollout) -> rollout.state == RolloutStatus.State.RUNNING);
	}

	/**
	 * Return how long this node has known the running rollout of a service.
	 * @param service the name of the service
	 * @param nowMillis the current time on the monotonic clock
	 * @return the time in milliseconds; empty if there is none or it has ended
	 */
	public OptionalLong runningMillis(String service, long nowMillis) {
		ServiceRollout rollout = this.rolloutsByService.get(service);
		return (rollout != null && rollout.state == RolloutStatus.State.RUNNING)
				? OptionalLong.of(nowMillis - rollout.orderReadAtMillis) : OptionalLong.empty();
	}

	/**
	 * Record that all published statuses were read. Until then no rollout is evaluated
	 * and no requests explore a target version, since its rollout may have ended before
	 * this node started.
	 */
	public void markStatusesLoaded() {
		this.publishedStatusesLoaded = true;
	}

	/**
	 * Record a status that was published for operators. Ends the rollout of the same
	 * service and target on this node, if the status says that it ended. A published
	 * completion also replaces a revert by this node, and stays, since the servers of
	 * other versions stop after it.
	 * @param status the status
	 */
	public void recordPublishedStatus(RolloutStatus status) {
		this.publishedStatuses.put(status.service(), status);
		ServiceRollout rollout = this.rolloutsByService.get(status.service());
		if (rollout != null && rollout.order.target().equals(status.target())
				&& status.state() != RolloutStatus.State.RUNNING && rollout.state != status.state()
				&& rollout.state != RolloutStatus.State.DONE) {
			endRollout(rollout, status.state(), "published by the node that holds the duties");
		}
	}

	/**
	 * Begin rollouts whose orders were held long enough. Then evaluate the running ones
	 * on the counts of all nodes: revert, adapt the share of the target version, or
	 * propose to complete; not before the published statuses were read.
	 * @param nowMillis the current time on the monotonic clock
	 */
	public void evaluate(long nowMillis) {
		if (nowMillis >= this.ordersHeldUntilMillis) {
			List.copyOf(this.heldOrders.values()).forEach((held) -> begin(held.order, held.offset, nowMillis));
		}
		if (!this.publishedStatusesLoaded) {
			return;
		}
		for (ServiceRollout rollout : this.rolloutsByService.values()) {
			if (rollout.state != RolloutStatus.State.RUNNING) {
				continue;
			}
			rollout.outcomes.countLateDispatches(nowMillis);
			TimedCanary canary = createCanary(rollout);
			double elapsedFraction = rollout.elapsedFraction(nowMillis);
			boolean targetAvailable = hasAvailableServers(rollout, true);
			Optional<String> regression = canary.findRegression()
				.or(() -> canary.findMissedDeadline(elapsedFraction, targetAvailable));
			if (regression.isPresent()) {
				endRollout(rollout, RolloutStatus.State.REVERTED, regression.get());
				continue;
			}
			rollout.targetShare = canary.candidateShare(elapsedFraction);
			rollout.setCompletable(canary.mayComplete(elapsedFraction) && targetAvailable, canary.toString());
		}
	}

	private boolean hasAvailableServers(ServiceRollout rollout, boolean ofTarget) {
		return this.servers.ofService(rollout.order.service())
			.stream()
			.anyMatch((server) -> server.takesRequests() && rollout.runsTarget(server.registration()) == ofTarget);
	}

	private TimedCanary createCanary(ServiceRollout rollout) {
		TimedCanary canary = new TimedCanary(this.explorationShare);
		rollout.outcomes.tallies()
			.forEach((key, tally) -> canary.add(rollout.armOf(key.version()), key.route(), tally));
		for (NodeReport report : this.fleet.recentReports()) {
			for (NodeReport.VersionTally row : report.tallies()) {
				if (row.service().equals(rollout.order.service())) {
					canary.add(rollout.armOf(row.version()), row.route(), row.tally());
				}
			}
		}
		return canary;
	}

	private static void endRollout(ServiceRollout rollout, RolloutStatus.State state, String reason) {
		rollout.state = state;
		logger.atInfo()
			.log("%s",
					LogLine.of("rollout ended")
						.with("service", rollout.order.service())
						.with("target", rollout.order.target())
						.with("state", state.name())
						.with("reason", reason));
	}

	/**
	 * Return the statuses that differ from what was published for operators. A rollout
	 * that may complete is done once that is published.
	 * @return the statuses to publish; empty before the published ones were read
	 */
	public List<RolloutStatus> unpublishedStatuses() {
		if (!this.publishedStatusesLoaded) {
			return List.of();
		}
		List<RolloutStatus> unpublished = new ArrayList<>();
		this.rolloutsByService.forEach((service, rollout) -> {
			RolloutStatus status = new RolloutStatus(service, rollout.order.target(), rollout.stateToPublish());
			if (!status.equals(this.publishedStatuses.get(service))) {
				unpublished.add(status);
			}
		});
		return unpublished;
	}

	/**
	 * Return the outcomes that this node counted in running rollouts.
	 * @return one tally for each service, version and route
	 */
	public List<NodeReport.VersionTally> tallies() {
		List<NodeReport.VersionTally> rows = new ArrayList<>();
		this.rolloutsByService.forEach((service, rollout) -> {
			if (rollout.state == RolloutStatus.State.RUNNING) {
				rollout.outcomes.tallies()
					.forEach((key, tally) -> rows
						.add(new NodeReport.VersionTally(service, key.version(), key.route(), tally)));
			}
		});
		return rows;
	}

	@Override
	public Predicate<KnownServer> versionFilter(String service, RouteRule route) {
		ServiceRollout rollout = this.rolloutsByService.get(service);
		if (rollout == null) {
			return (server) -> true;
		}
		boolean useTarget = switch (rollout.state) {
			case DONE -> true;
			case REVERTED -> false;
			case RUNNING -> this.random.nextDouble() < rollout.targetShare;
		};
		// After a revert, the target version gets no requests even if no other server is
		// available.
		if (rollout.state != RolloutStatus.State.REVERTED && !hasAvailableServers(rollout, useTarget)) {
			return (server) -> true;
		}
		return (server) -> rollout.runsTarget(server.registration()) == useTarget;
	}

	@Override
	public Predicate<KnownServer> versionFilterForRetry(String service) {
		ServiceRollout rollout = this.rolloutsByService.get(service);
		if (rollout == null || (rollout.state == RolloutStatus.State.RUNNING && !hasAvailableServers(rollout, false))) {
			return (server) -> true;
		}
		boolean useTarget = rollout.state == RolloutStatus.State.DONE;
		return (server) -> rollout.runsTarget(server.registration()) == useTarget;
	}

	@Override
	public DispatchObservation observe(ServerRegistration server, RouteRule route, long nowMillis) {
		ServiceRollout rollout = this.rolloutsByService.get(server.service());
		return (rollout != null && rollout.state == RolloutStatus.State.RUNNING)
				? rollout.outcomes.observe(server, route, nowMillis) : DispatchObservation.NONE;
	}

	private record HeldOrder(RolloutOrder order, long offset) {
	}

	private static final class ServiceRollout {

		private final RolloutOrder order;

		private long offset;

		/**
		 * When this node read the order. A node that starts during a rollout counts the
		 * duration of the rollout from its own start.
		 */
		private final long orderReadAtMillis;

		private final RolloutOutcomes outcomes;

		private RolloutStatus.State state = RolloutStatus.State.RUNNING;

		private double targetShare;

		private boolean completable;

		private ServiceRollout(RolloutOrder order, long offset, long orderReadAtMillis) {
			this.order = order;
			this.offset = offset;
			this.orderReadAtMillis = orderReadAtMillis;
			this.outcomes = new RolloutOutcomes(order.target());
		}

		private RolloutStatus.State stateToPublish() {
			return (this.state == RolloutStatus.State.RUNNING && this.completable) ? RolloutStatus.State.DONE
					: this.state;
		}

		private void setCompletable(boolean newCompletable, String counts) {
			if (newCompletable != this.completable) {
				logger.atInfo()
					.log("%s",
							LogLine.of("rollout may complete")
								.with("service", this.order.service())
								.with("target", this.order.target())
								.with("completable", newCompletable)
								.with("reason", counts));
			}
			this.completable = newCompletable;
		}

		private boolean runsTarget(ServerRegistration server) {
			return server.version().equals(this.order.target());
		}

		private Arm armOf(String version) {
			return version.equals(this.order.target()) ? Arm.CANDIDATE : Arm.CURRENT;
		}

		private double elapsedFraction(long nowMillis) {
			return (double) (nowMillis - this.orderReadAtMillis) / Math.max(1, this.order.withinMillis());
		}

	}

}
