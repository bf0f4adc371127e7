package io.flamingogap.gateway.cloud;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.fleet.FleetPlanner;
import io.flamingogap.core.fleet.ServerPlan;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.BackendService;
import io.flamingogap.core.serving.ScaleBounds;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.gateway.log.LogLine;

/**
 * The orders of servers that are due. Servers are given back only when those that replace
 * them take requests.
 */
final class ScaleDuty {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** An order that shows no effect after its boot time and this time is repeated. */
	private static final long REPEAT_MILLIS = 6_000;

	/** How long a zone counts as dry after an order found nothing. */
	private static final long DRY_MILLIS = 5_000;

	/** A smaller fleet must be enough for so long before servers are given back. */
	private static final long SHRINK_AFTER_MILLIS = 12_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	private final ServerTable servers;

	private final Map<Subject, Ordered> ordered = new HashMap<>();

	private final Map<String, Long> dryUntilMillis = new HashMap<>();

	private final Map<String, Need> needs = new HashMap<>();

	ScaleDuty(ServerTable servers) {
		this.servers = servers;
	}

	/**
	 * Forget what was ordered, since another holder may have ordered since.
	 */
	void takeOver() {
		this.ordered.clear();
	}

	/**
	 * Return the next order that is due.
	 * @param config the configuration
	 * @param demand what callers ask of services
	 * @param nowMillis the present time
	 * @return the order
	 */
	Optional<ServerPlan> nextDue(ServingConfig config, FleetDemandOf demand, long nowMillis) {
		for (BackendService service : config.services()) {
			if (service.scale().isEmpty() || service.engine().isEmpty()) {
				continue;
			}
			Optional<ServerPlan> due = nextDue(service, service.scale().get(), demand, nowMillis);
			if (due.isPresent()) {
				return due;
			}
		}
		return Optional.empty();
	}

	private Optional<ServerPlan> nextDue(BackendService service, ScaleBounds bounds, FleetDemandOf demand,
			long nowMillis) {
		int slots = service.engine().map((engine) -> engine.slots()).orElse(1);
		int need = this.needs.computeIfAbsent(service.name(), (name) -> new Need())
			.follow(FleetPlanner.need(demand.promptTokensPerSecond(service.name()), demand.openRequests(service.name()),
					slots), nowMillis);
		Map<String, Integer> ready = count(service.name(), true);
		Map<String, Integer> fullPrice = count(service.name(), false);
		List<ServerPlan> plan = FleetPlanner.plan(service.name(), bounds, need, ready, dryZones(nowMillis));
		List<ServerPlan> changes = new ArrayList<>();
		for (ServerPlan wanted : plan) {
			int present = (wanted.reclaimable() ? ready : fullPrice).getOrDefault(wanted.zone(), 0);
			if (isDue(wanted, present, bounds, nowMillis)) {
				changes.add(wanted);
			}
		}
		return changes.stream()
			.filter((change) -> change.reclaimable() || change.servers() > 0 || !ready.isEmpty())
			.findFirst();
	}

	private boolean isDue(ServerPlan wanted, int present, ScaleBounds bounds, long nowMillis) {
		Ordered last = this.ordered.get(Subject.of(wanted));
		if (last == null) {
			return present != wanted.servers();
		}
		if (last.servers != wanted.servers()) {
			return true;
		}
		long settledMillis = last.atMillis + (long) (bounds.bootSeconds() * MILLIS_PER_SECOND) + REPEAT_MILLIS;
		return present != wanted.servers() && nowMillis > settledMillis;
	}

	private Map<String, Integer> count(String service, boolean reclaimable) {
		Map<String, Integer> byZone = new HashMap<>();
		for (KnownServer server : this.servers.ofService(service)) {
			if (server.takesRequests() && server.entry().reclaimable() == reclaimable) {
				byZone.merge(server.entry().zone(), 1, Integer::sum);
			}
		}
		return byZone;
	}

	private Set<String> dryZones(long nowMillis) {
		this.dryUntilMillis.values().removeIf((untilMillis) -> nowMillis >= untilMillis);
		return new HashSet<>(this.dryUntilMillis.keySet());
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
			this.ordered.put(Subject.of(order), new Ordered(order.servers(), nowMillis));
		}
		else if (verdict == CloudApi.Verdict.NONE_AVAILABLE && order.reclaimable()) {
			this.dryUntilMillis.put(order.zone(), nowMillis + DRY_MILLIS);
		}
	}

	private record Subject(String service, String zone, boolean reclaimable) {

		private static Subject of(ServerPlan plan) {
			return new Subject(plan.service(), plan.zone(), plan.reclaimable());
		}

	}

	private record Ordered(int servers, long atMillis) {
	}

	/**
	 * Rises at once and falls late.
	 */
	private static final class Need {

		/**
		 * What a service starts with, before its demand is known: the load of a busy day.
		 */
		private static final int INITIAL = 10;

		private int held = INITIAL;

		private long lowerSinceMillis;

		private int follow(int wanted, long nowMillis) {
			if (this.lowerSinceMillis == 0 || wanted >= this.held) {
				wanted = Math.max(wanted, this.held);
				this.held = wanted;
				this.lowerSinceMillis = nowMillis;
			}
			else if (nowMillis - this.lowerSinceMillis > SHRINK_AFTER_MILLIS) {
				this.held--;
				this.lowerSinceMillis = nowMillis;
			}
			return this.held;
		}

	}

}
