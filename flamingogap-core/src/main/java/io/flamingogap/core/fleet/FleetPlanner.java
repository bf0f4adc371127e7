package io.flamingogap.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.flamingogap.core.serving.ScaleBounds;

/**
 * Plans the servers of a service: reclaimable ones in every zone, so many that the loss
 * of a zone leaves enough, and full-price ones for what reclaimable ones can't cover.
 */
public final class FleetPlanner {

	/** Prompt tokens that an engine reads in a second, from the users' sheets. */
	private static final double PROMPT_TOKENS_PER_SECOND = 66_200;

	/** The part of an engine's time that prompts may take; the rest generates tokens. */
	private static final double PROMPT_UTILIZATION = 0.3;

	/** The part of its slots that an engine should have open at the mean load. */
	private static final double SLOT_UTILIZATION = 0.4;

	/** Fewer engines can't carry a burst. */
	private static final int MIN_NEED = 6;

	/** Full-price servers that stay, for the time when all reclaimable ones are taken. */
	private static final int FULL_PRICE_FLOOR = 2;

	private FleetPlanner() {
	}

	/**
	 * Estimate how many engines the callers' demand needs.
	 * @param promptTokensPerSecond the prompt tokens that arrive
	 * @param openRequests the requests that are open
	 * @param slots the slots of an engine
	 * @return the number of engines
	 */
	public static int need(double promptTokensPerSecond, double openRequests, int slots) {
		double byPrompts = promptTokensPerSecond / PROMPT_TOKENS_PER_SECOND / PROMPT_UTILIZATION;
		double bySlots = openRequests / slots / SLOT_UTILIZATION;
		return (int) Math.max(MIN_NEED, Math.ceil(Math.max(byPrompts, bySlots)));
	}

	/**
	 * Plan the servers of a service.
	 * @param service the service
	 * @param bounds the bounds for orders
	 * @param need the servers that the demand needs
	 * @param ready the reclaimable servers that take requests, by zone
	 * @param dryZones the zones where no reclaimable servers are to be had at the moment
	 * @return the plan, for each zone and kind; nothing for reclaimable servers in dry
	 * zones
	 */
	public static List<ServerPlan> plan(String service, ScaleBounds bounds, int need, Map<String, Integer> ready,
			Set<String> dryZones) {
		List<String> zones = new ArrayList<>(bounds.zonePrices().keySet());
		zones.sort(Comparator.comparingDouble((String zone) -> bounds.zonePrices().get(zone))
			.thenComparing(Comparator.naturalOrder()));
		List<String> open = zones.stream().filter((zone) -> !dryZones.contains(zone)).toList();
		int perZone = reclaimablePerZone(bounds, need, open.size());
		int covered = ready.values().stream().mapToInt(Integer::intValue).sum();
		Map<String, Integer> fullPrice = spread(zones, Math.max(FULL_PRICE_FLOOR, need - covered), bounds);
		List<ServerPlan> plan = new ArrayList<>();
		for (String zone : zones) {
			int full = fullPrice.getOrDefault(zone, 0);
			plan.add(new ServerPlan(service, zone, false, full));
			if (open.contains(zone)) {
				int reclaimable = Math.min(Math.max(perZone, bounds.minPerZone() - full), bounds.maxPerZone() - full);
				plan.add(new ServerPlan(service, zone, true, Math.max(0, reclaimable)));
			}
		}
		return plan;
	}

	private static int reclaimablePerZone(ScaleBounds bounds, int need, int openZones) {
		int shared = Math.max(1, openZones - 1);
		return Math.min(bounds.maxPerZone(), (need + shared - 1) / shared);
	}

	/**
	 * Fill the cheapest zone first.
	 * @param zones the zones, the cheapest first
	 * @param servers the servers to spread
	 * @param bounds the bounds for orders
	 * @return servers by zone
	 */
	private static Map<String, Integer> spread(List<String> zones, int servers, ScaleBounds bounds) {
		Map<String, Integer> spread = new HashMap<>();
		int left = servers;
		for (String zone : zones) {
			int here = Math.min(left, bounds.maxPerZone());
			spread.put(zone, here);
			left -= here;
		}
		return spread;
	}

}
