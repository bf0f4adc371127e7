package io.flamingogap.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.flamingogap.core.serving.ScaleBounds;

/**
 * Plans the servers of a service: reclaimable servers in every zone, enough to survive
 * the loss of a zone, and full-price servers for what reclaimable ones can't cover.
 */
public final class CapacityPlanner {

	/** Share of an engine's time for reading prompts; the rest generates tokens. */
	private static final double PROMPT_UTILIZATION = 0.3;

	/** Share of an engine's slots that should be in use at the mean load. */
	private static final double SLOT_UTILIZATION = 0.4;

	/**
	 * Minimum number of servers of a service for each zone. Fewer can't serve a burst of
	 * requests.
	 */
	private static final int MIN_SERVERS_PER_ZONE = 2;

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Minimum number of full-price servers, in case all reclaimable ones are reclaimed.
	 */
	private static final int MIN_FULL_PRICE_SERVERS = 2;

	private CapacityPlanner() {
	}

	/**
	 * Estimate how many servers the callers' demand needs.
	 * @param promptTokensPerSecond the rate at which prompt tokens arrive
	 * @param openRequests the number of open requests
	 * @param slots the slots of one server
	 * @param readTokensPerMilli the speed at which one server reads prompts
	 * @param zones the number of zones that servers may be in
	 * @return the number of servers, at least the minimum for a burst
	 */
	public static int estimateServers(double promptTokensPerSecond, double openRequests, int slots,
			double readTokensPerMilli, int zones) {
		double byPrompts = promptTokensPerSecond / (readTokensPerMilli * MILLIS_PER_SECOND) / PROMPT_UTILIZATION;
		double bySlots = openRequests / slots / SLOT_UTILIZATION;
		return (int) Math.max(MIN_SERVERS_PER_ZONE * zones, Math.ceil(Math.max(byPrompts, bySlots)));
	}

	/**
	 * Return the target before the demand is known: as many servers as the operators
	 * started for it.
	 * @param fullPriceServers the number of full-price servers that take requests
	 * @param reclaimableServers the number of reclaimable servers that take requests;
	 * they were ordered to leave enough after the loss of a zone
	 * @param zones the number of zones that servers may be in
	 * @return the number of servers, at least the minimum for a burst
	 */
	public static int initialTarget(int fullPriceServers, int reclaimableServers, int zones) {
		return Math.max(MIN_SERVERS_PER_ZONE * zones, fullPriceServers + reclaimableServers * (zones - 1) / zones);
	}

	/**
	 * Plan the servers of a service. While reclaimable servers are exhausted in some
	 * zone, the zone that has the most of them may be reclaimed next. Full-price servers
	 * then replace its servers in advance, and no reclaimable server is released.
	 * @param service the name of the service
	 * @param bounds the limits of orders, and the prices by zone
	 * @param desired the number of servers that the demand needs
	 * @param supply the reclaimable servers, and the zones where no more can be ordered
	 * @return a plan for each zone and kind; an exhausted zone has none for reclaimable
	 * servers, so that their number isn't changed
	 */
	public static List<ServerPlan> plan(String service, ScaleBounds bounds, DesiredCapacity desired,
			ServerSupply supply) {
		List<String> zones = new ArrayList<>(bounds.zonePrices().keySet());
		zones.sort(Comparator.comparingDouble((String zone) -> bounds.zonePrices().get(zone))
			.thenComparing(Comparator.naturalOrder()));
		Map<String, Integer> reclaimable = planReclaimable(zones, bounds, desired.target(), supply);
		Map<String, Integer> maxFullPriceByZone = new HashMap<>();
		for (String zone : zones) {
			int reclaimableCount = Math.max(supply.countReadyOrBooting(zone), reclaimable.getOrDefault(zone, 0));
			int room = Math.max(0, bounds.maxPerZone() - reclaimableCount);
			maxFullPriceByZone.put(zone, Math.min(room, supply.fullPriceLimits().getOrDefault(zone, room)));
		}
		Map<String, Integer> fullPrice = fillCheapestFirst(zones, countFullPriceServers(bounds, desired, supply),
				maxFullPriceByZone);
		List<ServerPlan> plan = new ArrayList<>();
		for (String zone : zones) {
			int fullPriceCount = fullPrice.get(zone);
			plan.add(new ServerPlan(service, zone, false, fullPriceCount));
			if (reclaimable.containsKey(zone)) {
				plan.add(new ServerPlan(service, zone, true,
						Math.max(reclaimable.get(zone), bounds.minPerZone() - fullPriceCount)));
			}
		}
		return plan;
	}

	/**
	 * Return how many full-price servers a service needs.
	 * @param bounds the zones that servers may be in
	 * @param desired the number of servers that the demand needs
	 * @param supply the reclaimable servers
	 * @return the number over all zones, at least the minimum that always stays
	 */
	public static int countFullPriceServers(ScaleBounds bounds, DesiredCapacity desired, ServerSupply supply) {
		return Math.max(MIN_FULL_PRICE_SERVERS,
				desired.required() - supply.countAfterNextReclaim(bounds.zonePrices().keySet()));
	}

	private static Map<String, Integer> planReclaimable(List<String> zones, ScaleBounds bounds, int target,
			ServerSupply supply) {
		List<String> availableZones = zones.stream().filter((zone) -> !supply.exhaustedZones().contains(zone)).toList();
		int perZone = reclaimablePerZone(bounds, target, availableZones.size());
		Map<String, Integer> planned = new HashMap<>();
		for (String zone : availableZones) {
			planned.put(zone, supply.isScarce() ? Math.max(perZone, supply.countReadyOrBooting(zone)) : perZone);
		}
		return planned;
	}

	private static int reclaimablePerZone(ScaleBounds bounds, int target, int availableZoneCount) {
		int zonesAfterLoss = Math.max(1, availableZoneCount - 1);
		return Math.min(bounds.maxPerZone(), (target + zonesAfterLoss - 1) / zonesAfterLoss);
	}

	/**
	 * Distribute servers over zones, filling the cheapest zone first.
	 * @param zones the zones, the cheapest first
	 * @param servers the number of servers to distribute
	 * @param maxByZone the maximum number of servers, by zone
	 * @return the servers by zone; fewer in all if the zones can't hold more
	 */
	private static Map<String, Integer> fillCheapestFirst(List<String> zones, int servers,
			Map<String, Integer> maxByZone) {
		Map<String, Integer> filled = new HashMap<>();
		int left = servers;
		for (String zone : zones) {
			int here = Math.min(left, maxByZone.get(zone));
			filled.put(zone, here);
			left -= here;
		}
		return filled;
	}

}
