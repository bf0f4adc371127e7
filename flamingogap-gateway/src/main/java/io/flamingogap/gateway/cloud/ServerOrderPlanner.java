package io.flamingogap.gateway.cloud;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.fleet.CapacityPlanner;
import io.flamingogap.core.fleet.CapacityStabilizer;
import io.flamingogap.core.fleet.DesiredCapacity;
import io.flamingogap.core.fleet.ServerPlan;
import io.flamingogap.core.fleet.ServerSupply;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.BackendService;
import io.flamingogap.core.serving.EngineProfile;
import io.flamingogap.core.serving.ScaleBounds;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.log.LogLine;

/**
 * The orders of servers that are due. What is missing is ordered first; servers are given
 * back only when nothing is missing and those that replace them take requests.
 */
final class ServerOrderPlanner {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * How long no more servers of a kind are asked for in a zone that had none. The
	 * users' clouds have none for 3.5 to 15 s at a time.
	 */
	private static final long NONE_AVAILABLE_MILLIS = 5_000;

	private final ServerTable servers;

	private final boolean firstStart;

	private final Map<Subject, PlacedOrder> placed = new HashMap<>();

	private final Map<Subject, Long> noneUntilMillis = new HashMap<>();

	private final Map<String, CapacityStabilizer> needs = new HashMap<>();

	/**
	 * Create a duty that has ordered nothing.
	 * @param servers the backend servers
	 * @param firstStart whether the whole system starts for the first time, so that
	 * nobody asks yet
	 */
	ServerOrderPlanner(ServerTable servers, boolean firstStart) {
		this.servers = servers;
		this.firstStart = firstStart;
	}

	/**
	 * Forget what was ordered, since another holder may have ordered since.
	 */
	void takeOver() {
		this.placed.clear();
	}

	/**
	 * Return the next order that is due.
	 * @param config the configuration
	 * @param demand what callers ask of services
	 * @param nowMillis the present time
	 * @return the order
	 */
	Optional<ServerPlan> nextDue(ServingConfig config, FleetServiceDemand demand, long nowMillis) {
		return config.services()
			.stream()
			.filter((service) -> service.scale().isPresent() && service.engine().isPresent())
			.flatMap((service) -> nextDue(service, service.engine().get(), service.scale().get(), demand, nowMillis)
				.stream())
			.findFirst();
	}

	private Optional<ServerPlan> nextDue(BackendService service, EngineProfile engine, ScaleBounds bounds,
			FleetServiceDemand demand, long nowMillis) {
		String name = service.name();
		DesiredCapacity need = this.needs.computeIfAbsent(name, (each) -> new CapacityStabilizer(this.firstStart))
			.update(demand.promptTokensPerSecond(name), demand.openRequests(name), engine.slots(), nowMillis);
		Map<Subject, Integer> present = countPresent(name);
		ServerSupply stock = stock(name, bounds, present, nowMillis);
		List<ServerPlan> least = CapacityPlanner.plan(name, bounds, need, stock);
		Optional<ServerPlan> growth = least.stream()
			.sorted(Comparator.comparing((ServerPlan row) -> !row.reclaimable()))
			.filter((row) -> isGrowthDue(row, present, bounds, nowMillis))
			.findFirst();
		if (growth.isPresent()) {
			return growth;
		}
		int neededAtFullPrice = CapacityPlanner.fullPriceServers(bounds, need, stock.readyOnly());
		return findShrinkage(least, neededAtFullPrice, present, bounds, nowMillis);
	}

	/**
	 * Find servers to give back, full-price ones of the dearest zone first.
	 * @param plan the plan, the cheapest zone first
	 * @param neededAtFullPrice the full-price servers needed while others are booting
	 * @param present the servers that take requests
	 * @param bounds the bounds for orders
	 * @param nowMillis the present time
	 * @return the order
	 */
	private Optional<ServerPlan> findShrinkage(List<ServerPlan> plan, int neededAtFullPrice,
			Map<Subject, Integer> present, ScaleBounds bounds, long nowMillis) {
		int excess = -neededAtFullPrice;
		for (ServerPlan row : plan) {
			excess += row.reclaimable() ? 0 : held(row, present, bounds, nowMillis);
		}
		for (int i = plan.size() - 1; i >= 0; i--) {
			ServerPlan row = plan.get(i);
			int held = held(row, present, bounds, nowMillis);
			int surplus = Math.min(held - row.servers(), row.reclaimable() ? Integer.MAX_VALUE : excess);
			if (surplus > 0) {
				return Optional.of(row.withServers(held - surplus));
			}
		}
		return Optional.empty();
	}

	private int held(ServerPlan row, Map<Subject, Integer> present, ScaleBounds bounds, long nowMillis) {
		PlacedOrder last = this.placed.get(Subject.of(row));
		return (last != null && !last.isSettled(bounds.bootSeconds(), nowMillis)) ? last.servers()
				: present.getOrDefault(Subject.of(row), 0);
	}

	private boolean isGrowthDue(ServerPlan wanted, Map<Subject, Integer> present, ScaleBounds bounds, long nowMillis) {
		int there = present.getOrDefault(Subject.of(wanted), 0);
		PlacedOrder last = this.placed.get(Subject.of(wanted));
		if (last == null) {
			return there < wanted.servers();
		}
		return last.servers() < wanted.servers() || (there < wanted.servers()
				&& (last.isSettled(bounds.bootSeconds(), nowMillis) || there < last.mostSeen()));
	}

	private Map<Subject, Integer> countPresent(String service) {
		Map<Subject, Integer> present = new HashMap<>();
		for (KnownServer server : this.servers.ofService(service)) {
			if (server.takesRequests()) {
				present.merge(new Subject(service, server.registration().zone(), server.registration().reclaimable()),
						1, Integer::sum);
			}
		}
		this.placed.replaceAll((subject, order) -> order.seen(present.getOrDefault(subject, 0)));
		return present;
	}

	private ServerSupply stock(String service, ScaleBounds bounds, Map<Subject, Integer> present, long nowMillis) {
		Map<String, Integer> ready = new HashMap<>();
		Map<String, Integer> booting = new HashMap<>();
		for (String zone : bounds.zonePrices().keySet()) {
			Subject subject = new Subject(service, zone, true);
			int there = present.getOrDefault(subject, 0);
			PlacedOrder last = this.placed.get(subject);
			ready.put(zone, there);
			if (last != null && there >= last.mostSeen() && !last.isSettled(bounds.bootSeconds(), nowMillis)) {
				booting.put(zone, Math.max(0, last.servers() - there));
			}
		}
		this.noneUntilMillis.values().removeIf((untilMillis) -> nowMillis >= untilMillis);
		Map<String, Integer> fullPriceLimits = new HashMap<>();
		for (String zone : zonesWithNone(service, false)) {
			fullPriceLimits.put(zone, present.getOrDefault(new Subject(service, zone, false), 0));
		}
		return new ServerSupply(ready, booting, zonesWithNone(service, true), fullPriceLimits);
	}

	private Set<String> zonesWithNone(String service, boolean reclaimable) {
		return this.noneUntilMillis.keySet()
			.stream()
			.filter((subject) -> subject.service().equals(service) && subject.reclaimable() == reclaimable)
			.map(Subject::zone)
			.collect(Collectors.toSet());
	}

	/**
	 * Record what became of an order.
	 * @param order the order
	 * @param verdict the cloud's answer
	 * @param nowMillis the present time
	 */
	void record(ServerPlan order, CloudApi.Verdict verdict, long nowMillis) {
		logger.atInfo()
			.log("%s",
					LogLine.of("servers ordered")
						.with("service", order.service())
						.with("zone", order.zone())
						.with("reclaimable", order.reclaimable())
						.with("servers", order.servers())
						.with("verdict", verdict.name()));
		if (verdict == CloudApi.Verdict.ACCEPTED) {
			int there = countPresent(order.service()).getOrDefault(Subject.of(order), 0);
			this.placed.put(Subject.of(order), new PlacedOrder(order.servers(), nowMillis, there));
		}
		else if (verdict == CloudApi.Verdict.NONE_AVAILABLE) {
			this.placed.remove(Subject.of(order));
			this.noneUntilMillis.put(Subject.of(order), nowMillis + NONE_AVAILABLE_MILLIS);
		}
	}

	private record Subject(String service, String zone, boolean reclaimable) {

		private static Subject of(ServerPlan plan) {
			return new Subject(plan.service(), plan.zone(), plan.reclaimable());
		}

	}

	/**
	 * An order that the cloud accepted.
	 *
	 * @param servers the number ordered
	 * @param atMillis when it was accepted
	 * @param mostSeen the most servers that were there since; fewer means that some are
	 * lost
	 */
	private record PlacedOrder(int servers, long atMillis, int mostSeen) {

		/**
		 * An order that shows no effect after its boot time and this time is repeated.
		 */
		private static final long REPEAT_MILLIS = 6_000;

		private static final long MILLIS_PER_SECOND = 1_000;

		private PlacedOrder seen(int present) {
			return new PlacedOrder(this.servers, this.atMillis, Math.max(this.mostSeen, present));
		}

		private boolean isSettled(double bootSeconds, long nowMillis) {
			return nowMillis > this.atMillis + (long) (bootSeconds * MILLIS_PER_SECOND) + REPEAT_MILLIS;
		}

	}

}
