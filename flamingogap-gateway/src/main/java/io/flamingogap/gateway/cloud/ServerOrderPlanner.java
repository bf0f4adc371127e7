package io.flamingogap.gateway.cloud;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.fleet.CapacityPlanner;
import io.flamingogap.core.fleet.CapacityStabilizer;
import io.flamingogap.core.fleet.DesiredCapacity;
import io.flamingogap.core.fleet.FirstRegistrations;
import io.flamingogap.core.fleet.ServerPlan;
import io.flamingogap.core.fleet.ServerSupply;
import io.flamingogap.core.servers.EvacuatedZones;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.BackendService;
import io.flamingogap.core.serving.EngineProfile;
import io.flamingogap.core.serving.ScaleBounds;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.log.LogLine;

/**
 * Decides which servers to order next. Orders missing servers first; releases servers
 * only when none are missing, their replacements take requests, and no rollout needs the
 * servers of two versions.
 */
final class ServerOrderPlanner {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * How long to wait before ordering servers of a kind again in a zone that had none
	 * available. A shortage in the users' clouds lasts 3.5 to 15 s.
	 */
	private static final long UNAVAILABLE_RETRY_MILLIS = 5_000;

	/** How long an order that the cloud refused lets other orders go first. */
	private static final long REFUSED_RETRY_MILLIS = 1_000;

	/**
	 * How long nothing is ordered after a rollout began. Until its servers are
	 * registered, the room in the zones isn't known.
	 */
	private static final long ROLLOUT_START_MILLIS = 3_000;

	/**
	 * How long nothing is released after a zone was taken back. Its servers may have just
	 * started, so the ones that replaced them are still needed.
	 */
	private static final long ZONE_RETURN_MILLIS = 12_000;

	private final ServerTable servers;

	private final RunningRollouts runningRollouts;

	private final boolean firstStart;

	private final EvacuatedZones evacuatedZones;

	private Set<String> lastEvacuatedZones = Set.of();

	private long zoneReturnedAtMillis = Long.MIN_VALUE / 2;

	private final Map<ServerPool, AcceptedOrder> acceptedOrders = new HashMap<>();

	private final Map<ServerPool, Long> unavailableUntilMillis = new HashMap<>();

	private final Map<ServerPool, Long> refusedUntilMillis = new HashMap<>();

	private final Map<String, CapacityStabilizer> stabilizers = new HashMap<>();

	private final Map<String, FirstRegistrations> firstRegistrations = new HashMap<>();

	/**
	 * Create a planner without orders.
	 * @param servers the backend servers
	 * @param runningRollouts the rollouts that are running
	 * @param firstStart whether the whole system starts for the first time, so that there
	 * is no demand yet
	 * @param evacuatedZones the zones whose servers are replaced by servers elsewhere;
	 * nothing is ordered and nothing is released there
	 */
	ServerOrderPlanner(ServerTable servers, RunningRollouts runningRollouts, boolean firstStart,
			EvacuatedZones evacuatedZones) {
		this.servers = servers;
		this.runningRollouts = runningRollouts;
		this.firstStart = firstStart;
		this.evacuatedZones = evacuatedZones;
	}

	/**
	 * Forget the accepted orders, since another holder of the duties may have changed
	 * them.
	 */
	void forgetAcceptedOrders() {
		this.acceptedOrders.clear();
	}

	/**
	 * Return the next order that is due.
	 * @param config the current configuration
	 * @param demand the demand for each service, over all nodes
	 * @param nowMillis the current time on the monotonic clock
	 * @return the order; empty if none is due
	 */
	Optional<ServerPlan> nextOrder(ServingConfig config, FleetServiceDemand demand, long nowMillis) {
		if (!this.evacuatedZones.zones().containsAll(this.lastEvacuatedZones)) {
			this.zoneReturnedAtMillis = nowMillis;
		}
		this.lastEvacuatedZones = this.evacuatedZones.zones();
		return config.services()
			.stream()
			.filter((service) -> service.scale().isPresent() && service.engine().isPresent())
			.flatMap((service) -> nextOrder(service, service.engine().get(), service.scale().get(), demand, nowMillis)
				.stream())
			.findFirst();
	}

	private Optional<ServerPlan> nextOrder(BackendService service, EngineProfile engine, ScaleBounds configuredBounds,
			FleetServiceDemand demand, long nowMillis) {
		ScaleBounds bounds = configuredBounds.without(this.evacuatedZones.zones());
		if (bounds.zonePrices().isEmpty() && !configuredBounds.zonePrices().isEmpty()) {
			return Optional.empty();
		}
		String name = service.name();
		OptionalLong rolloutAgeMillis = this.runningRollouts.ageMillis(name, nowMillis);
		if (rolloutAgeMillis.isPresent() && rolloutAgeMillis.getAsLong() < ROLLOUT_START_MILLIS) {
			return Optional.empty();
		}
		Map<ServerPool, Integer> readyByPool = countReady(name);
		if (!isFirstFleetKnown(name, demand, readyByPool, nowMillis)) {
			return Optional.empty();
		}
		DesiredCapacity desired = desiredCapacity(name, engine, bounds, demand, readyByPool, nowMillis);
		ServerSupply supply = buildSupply(name, bounds, readyByPool, nowMillis);
		List<ServerPlan> plan = CapacityPlanner.plan(name, bounds, desired, supply);
		Optional<ServerPlan> scaleUp = plan.stream()
			.sorted(Comparator.comparing((ServerPlan poolPlan) -> !poolPlan.reclaimable()))
			.filter((poolPlan) -> !isRefused(poolPlan, nowMillis))
			.filter((poolPlan) -> !stopsReadyServers(poolPlan, readyByPool, bounds))
			.filter((poolPlan) -> isScaleUpDue(poolPlan, readyByPool, bounds, nowMillis))
			.findFirst();
		if (scaleUp.isPresent() || rolloutAgeMillis.isPresent()
				|| nowMillis - this.zoneReturnedAtMillis < ZONE_RETURN_MILLIS) {
			return scaleUp;
		}
		int requiredFullPrice = CapacityPlanner.countFullPriceServers(bounds, desired, supply.readyOnly());
		return findScaleDown(plan, requiredFullPrice, readyByPool, bounds, nowMillis);
	}

	/**
	 * Return whether all servers that the operators started for a service have
	 * registered. Until then their number says nothing about the demand to come.
	 * @param service the name of the service
	 * @param demand the demand, which decides alone once there is any
	 * @param readyByPool the number of servers that take requests
	 * @param nowMillis the current time on the monotonic clock
	 * @return {@code false} if orders have to wait
	 */
	private boolean isFirstFleetKnown(String service, FleetServiceDemand demand, Map<ServerPool, Integer> readyByPool,
			long nowMillis) {
		return !this.firstStart || hasDemand(service, demand)
				|| this.firstRegistrations.computeIfAbsent(service, (name) -> new FirstRegistrations())
					.update(countReady(readyByPool, false) + countReady(readyByPool, true), nowMillis);
	}

	private static boolean hasDemand(String service, FleetServiceDemand demand) {
		return demand.unsharedPromptTokensPerSecond(service) > 0 || demand.openRequests(service) > 0;
	}

	/**
	 * Return whether an order would stop servers that take requests. Each kind of server
	 * is ordered by itself, but the limit of a zone applies to both together: the cloud
	 * cuts an order to what the other kind leaves, even below the servers that it had
	 * granted.
	 * @param poolPlan the planned servers
	 * @param readyByPool the number of servers that take requests
	 * @param bounds the limits for orders
	 * @return {@code true} if the zone has less room than servers of this kind
	 */
	private static boolean stopsReadyServers(ServerPlan poolPlan, Map<ServerPool, Integer> readyByPool,
			ScaleBounds bounds) {
		ServerPool pool = ServerPool.of(poolPlan);
		int room = bounds.maxPerZone() - readyByPool.getOrDefault(pool.otherKind(), 0);
		return room < readyByPool.getOrDefault(pool, 0);
	}

	private DesiredCapacity desiredCapacity(String service, EngineProfile engine, ScaleBounds bounds,
			FleetServiceDemand demand, Map<ServerPool, Integer> readyByPool, long nowMillis) {
		int zones = bounds.zonePrices().size();
		double tokensPerSecond = demand.unsharedPromptTokensPerSecond(service);
		double openRequests = demand.openRequests(service);
		int needed = CapacityPlanner.estimateServers(tokensPerSecond, openRequests, engine.slots(),
				this.servers.promptSpeedOf(service).tokensPerMilli(nowMillis), zones);
		return this.stabilizers.computeIfAbsent(service, (name) -> {
			int initialTarget = CapacityPlanner.initialTarget(countReady(readyByPool, false),
					countReady(readyByPool, true), zones);
			return new CapacityStabilizer(initialTarget, this.firstStart);
		}).update(needed, hasDemand(service, demand), nowMillis);
	}

	/**
	 * Find servers to release: in the most expensive zone first, and within a zone
	 * reclaimable servers before full-price ones.
	 * @param plan the planned servers, the cheapest zone first
	 * @param requiredFullPrice the number of full-price servers needed until the booting
	 * servers take requests
	 * @param readyByPool the number of servers that take requests
	 * @param bounds the limits for orders
	 * @param nowMillis the current time on the monotonic clock
	 * @return an order for fewer servers; empty if none can be released
	 */
	private Optional<ServerPlan> findScaleDown(List<ServerPlan> plan, int requiredFullPrice,
			Map<ServerPool, Integer> readyByPool, ScaleBounds bounds, long nowMillis) {
		int releasableFullPrice = -requiredFullPrice;
		for (ServerPlan poolPlan : plan) {
			releasableFullPrice += poolPlan.reclaimable() ? 0
					: expectedServers(poolPlan, readyByPool, bounds, nowMillis);
		}
		for (int i = plan.size() - 1; i >= 0; i--) {
			ServerPlan poolPlan = plan.get(i);
			int expectedServers = expectedServers(poolPlan, readyByPool, bounds, nowMillis);
			int releasable = Math.min(expectedServers - poolPlan.servers(),
					poolPlan.reclaimable() ? Integer.MAX_VALUE : releasableFullPrice);
			if (releasable > 0 && !isRefused(poolPlan, nowMillis)) {
				return Optional.of(poolPlan.withServers(expectedServers - releasable));
			}
		}
		return Optional.empty();
	}

	private boolean isRefused(ServerPlan poolPlan, long nowMillis) {
		return nowMillis < this.refusedUntilMillis.getOrDefault(ServerPool.of(poolPlan), Long.MIN_VALUE);
	}

	private int expectedServers(ServerPlan poolPlan, Map<ServerPool, Integer> readyByPool, ScaleBounds bounds,
			long nowMillis) {
		AcceptedOrder lastOrder = this.acceptedOrders.get(ServerPool.of(poolPlan));
		return (lastOrder != null && !lastOrder.hasTimedOut(bounds.bootSeconds(), nowMillis)) ? lastOrder.servers()
				: readyByPool.getOrDefault(ServerPool.of(poolPlan), 0);
	}

	private boolean isScaleUpDue(ServerPlan wanted, Map<ServerPool, Integer> readyByPool, ScaleBounds bounds,
			long nowMillis) {
		int readyServers = readyByPool.getOrDefault(ServerPool.of(wanted), 0);
		AcceptedOrder lastOrder = this.acceptedOrders.get(ServerPool.of(wanted));
		if (lastOrder == null) {
			return readyServers < wanted.servers();
		}
		return lastOrder.servers() < wanted.servers() || (readyServers < wanted.servers()
				&& (lastOrder.hasTimedOut(bounds.bootSeconds(), nowMillis) || readyServers < lastOrder.maxReady()));
	}

	private static int countReady(Map<ServerPool, Integer> readyByPool, boolean reclaimable) {
		return readyByPool.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().reclaimable() == reclaimable)
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	private Map<ServerPool, Integer> countReady(String service) {
		Map<ServerPool, Integer> readyByPool = new HashMap<>();
		for (KnownServer server : this.servers.ofService(service)) {
			if (server.takesRequests()) {
				readyByPool.merge(
						new ServerPool(service, server.registration().zone(), server.registration().reclaimable()), 1,
						Integer::sum);
			}
		}
		this.acceptedOrders.replaceAll((pool, order) -> order.withReady(readyByPool.getOrDefault(pool, 0)));
		return readyByPool;
	}

	private ServerSupply buildSupply(String service, ScaleBounds bounds, Map<ServerPool, Integer> readyByPool,
			long nowMillis) {
		Map<String, Integer> readyByZone = new HashMap<>();
		Map<String, Integer> bootingByZone = new HashMap<>();
		for (String zone : bounds.zonePrices().keySet()) {
			ServerPool pool = new ServerPool(service, zone, true);
			int readyServers = readyByPool.getOrDefault(pool, 0);
			AcceptedOrder lastOrder = this.acceptedOrders.get(pool);
			readyByZone.put(zone, readyServers);
			if (lastOrder != null && readyServers >= lastOrder.maxReady()
					&& !lastOrder.hasTimedOut(bounds.bootSeconds(), nowMillis)) {
				bootingByZone.put(zone, Math.max(0, lastOrder.servers() - readyServers));
			}
		}
		this.unavailableUntilMillis.values().removeIf((untilMillis) -> nowMillis >= untilMillis);
		Map<String, Integer> fullPriceLimits = new HashMap<>();
		for (String zone : unavailableZones(service, false)) {
			fullPriceLimits.put(zone, readyByPool.getOrDefault(new ServerPool(service, zone, false), 0));
		}
		return new ServerSupply(readyByZone, bootingByZone, unavailableZones(service, true), fullPriceLimits);
	}

	private Set<String> unavailableZones(String service, boolean reclaimable) {
		return this.unavailableUntilMillis.keySet()
			.stream()
			.filter((pool) -> pool.service().equals(service) && pool.reclaimable() == reclaimable)
			.map(ServerPool::zone)
			.collect(Collectors.toSet());
	}

	/**
	 * Record the outcome of an order.
	 * @param order the order
	 * @param verdict the cloud's answer
	 * @param nowMillis the current time on the monotonic clock
	 */
	void recordOutcome(ServerPlan order, CloudApi.Verdict verdict, long nowMillis) {
		logger.atInfo()
			.log("%s",
					LogLine.of("servers ordered")
						.with("service", order.service())
						.with("zone", order.zone())
						.with("reclaimable", order.reclaimable())
						.with("servers", order.servers())
						.with("verdict", verdict.name()));
		if (verdict == CloudApi.Verdict.ACCEPTED) {
			int readyServers = countReady(order.service()).getOrDefault(ServerPool.of(order), 0);
			this.acceptedOrders.put(ServerPool.of(order), new AcceptedOrder(order.servers(), nowMillis, readyServers));
		}
		else if (verdict == CloudApi.Verdict.REFUSED) {
			this.refusedUntilMillis.put(ServerPool.of(order), nowMillis + REFUSED_RETRY_MILLIS);
		}
		else if (verdict == CloudApi.Verdict.NONE_AVAILABLE) {
			this.acceptedOrders.remove(ServerPool.of(order));
			this.unavailableUntilMillis.put(ServerPool.of(order), nowMillis + UNAVAILABLE_RETRY_MILLIS);
		}
	}

	private record ServerPool(String service, String zone, boolean reclaimable) {

		private ServerPool otherKind() {
			return new ServerPool(this.service, this.zone, !this.reclaimable);
		}

		private static ServerPool of(ServerPlan plan) {
			return new ServerPool(plan.service(), plan.zone(), plan.reclaimable());
		}

	}

	/**
	 * An order that the cloud accepted.
	 *
	 * @param servers the number of servers ordered
	 * @param acceptedAtMillis the time of the acceptance on the monotonic clock
	 * @param maxReady the highest number of ready servers since then; a lower number
	 * means that some were lost
	 */
	private record AcceptedOrder(int servers, long acceptedAtMillis, int maxReady) {

		/** The time beyond the boot time after which an incomplete order is repeated. */
		private static final long BOOT_MARGIN_MILLIS = 6_000;

		private static final long MILLIS_PER_SECOND = 1_000;

		private AcceptedOrder withReady(int readyServers) {
			return new AcceptedOrder(this.servers, this.acceptedAtMillis, Math.max(this.maxReady, readyServers));
		}

		private boolean hasTimedOut(double bootSeconds, long nowMillis) {
			return nowMillis > this.acceptedAtMillis + (long) (bootSeconds * MILLIS_PER_SECOND) + BOOT_MARGIN_MILLIS;
		}

	}

}
