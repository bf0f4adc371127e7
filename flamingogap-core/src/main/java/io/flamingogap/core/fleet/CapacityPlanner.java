package io.flamingogap.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.flamingogap.core.serving.ScaleBounds;

/**
 * Plans the servers of a service: reclaimable ones in every zone, so many that the loss
 * of a zone leaves enough, and full-price ones for what reclaimable ones can't cover.
 */
public final class CapacityPlanner {

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

	private CapacityPlanner() {
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
	 * Plan the servers of a service. While reclaimable servers are refused anywhere, the
	 * zone with the most of them may be taken next, so full-price servers stand in for it
	 * beforehand, and no reclaimable server that is there is given back.
	 * @param service the service
	 * @param bounds the bounds for orders
	 * @param need the servers that the demand needs
	 * @param stock the reclaimable servers that are there and those to be had
	 * @return the plan, for each zone and kind; nothing for reclaimable servers in dry
	 * zones
	 */
	public static List<ServerPlan> plan(String service, ScaleBounds bounds, DesiredCapacity need, ServerSupply stock) {
		List<String> zones = new ArrayList<>(bounds.zonePrices().keySet());
		zones.sort(Comparator.comparingDouble((String zone) -> bounds.zonePrices().get(zone))
			.thenComparing(Comparator.naturalOrder()));
		Map<String, Integer> reclaimable = planReclaimable(zones, bounds, need.planned(), stock);
		Map<String, Integer> places = new HashMap<>();
		for (String zone : zones) {
			int taken = Math.max(stock.present(zone), reclaimable.getOrDefault(zone, 0));
			int left = Math.max(0, bounds.maxPerZone() - taken);
			places.put(zone, Math.min(left, stock.fullPriceLimits().getOrDefault(zone, left)));
		}
		Map<String, Integer> fullPrice = spread(zones, fullPriceServers(bounds, need, stock), places);
		List<ServerPlan> plan = new ArrayList<>();
		for (String zone : zones) {
			int full = fullPrice.get(zone);
			plan.add(new ServerPlan(service, zone, false, full));
			if (reclaimable.containsKey(zone)) {
				plan.add(new ServerPlan(service, zone, true,
						Math.max(reclaimable.get(zone), bounds.minPerZone() - full)));
			}
		}
		return plan;
	}

	/**
	 * Return how many full-price servers a service needs.
	 * @param bounds the bounds for orders
	 * @param need the servers that the demand needs
	 * @param stock the reclaimable servers that are there
	 * @return the number, over all zones
	 */
	public static int fullPriceServers(ScaleBounds bounds, DesiredCapacity need, ServerSupply stock) {
		return Math.max(FULL_PRICE_FLOOR, need.present() - stock.lasting(bounds.zonePrices().keySet()));
	}

	private static Map<String, Integer> planReclaimable(List<String> zones, ScaleBounds bounds, int need,
			ServerSupply stock) {
		List<String> open = zones.stream().filter((zone) -> !stock.dryZones().contains(zone)).toList();
		int perZone = reclaimablePerZone(bounds, need, open.size());
		Map<String, Integer> planned = new HashMap<>();
		for (String zone : open) {
			planned.put(zone, stock.isScarce() ? Math.max(perZone, stock.present(zone)) : perZone);
		}
		return planned;
	}

	private static int reclaimablePerZone(ScaleBounds bounds, int need, int openZones) {
		int shared = Math.max(1, openZones - 1);
		return Math.min(bounds.maxPerZone(), (need + shared - 1) / shared);
	}

	/**
	 * Fill the cheapest zone first.
	 * @param zones the zones, the cheapest first
	 * @param servers the servers to spread
	 * @param places the places left, by zone
	 * @return servers by zone
	 */
	private static Map<String, Integer> spread(List<String> zones, int servers, Map<String, Integer> places) {
		Map<String, Integer> spread = new HashMap<>();
		int left = servers;
		for (String zone : zones) {
			int here = Math.min(left, places.get(zone));
			spread.put(zone, here);
			left -= here;
		}
		return spread;
	}

}
