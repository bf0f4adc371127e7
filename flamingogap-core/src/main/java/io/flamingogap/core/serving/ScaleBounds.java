package io.flamingogap.core.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Settings for ordering servers of a service: bounds, prices and boot time. There are two
 * kinds of servers: full-price ones and cheaper ones that the cloud may reclaim.
 *
 * @param minPerZone the minimum number of servers in a zone, both kinds together
 * @param maxPerZone the maximum number of servers in a zone, both kinds together
 * @param bootSeconds the time from the order of a server until it accepts requests
 * @param reclaimablePriceRatio the price of a reclaimable server divided by the full
 * price
 * @param zonePrices the price of a server, by the name of the zone
 */
public record ScaleBounds(int minPerZone, int maxPerZone, double bootSeconds, double reclaimablePriceRatio,
		Map<String, Double> zonePrices) {

	public ScaleBounds {
		Objects.requireNonNull(zonePrices, "zonePrices must not be null");
		zonePrices = Map.copyOf(zonePrices);
		if (minPerZone < 0 || maxPerZone < minPerZone) {
			throw new IllegalArgumentException(
					"minPerZone must be 0 to maxPerZone but they were " + minPerZone + " and " + maxPerZone);
		}
	}

	/**
	 * Return the bounds without some zones.
	 * @param zones the zones in which nothing may be ordered
	 * @return bounds with the prices of the other zones
	 */
	public ScaleBounds without(Set<String> zones) {
		Map<String, Double> remainingPrices = new HashMap<>(this.zonePrices);
		remainingPrices.keySet().removeAll(zones);
		return new ScaleBounds(this.minPerZone, this.maxPerZone, this.bootSeconds, this.reclaimablePriceRatio,
				remainingPrices);
	}

}
