package io.flamingogap.core.serving;

import java.util.Map;
import java.util.Objects;

/**
 * How many servers of a service may be ordered, and at what price.
 *
 * @param minPerZone the least servers in a zone, of both kinds together
 * @param maxPerZone the most servers in a zone, of both kinds together
 * @param bootSeconds the time until an ordered server takes requests
 * @param reclaimablePrice the price of a reclaimable server, as a part of the full price
 * @param zonePrices the price of a server by zone
 */
public record ScaleBounds(int minPerZone, int maxPerZone, double bootSeconds, double reclaimablePrice,
		Map<String, Double> zonePrices) {

	public ScaleBounds {
		Objects.requireNonNull(zonePrices, "zonePrices must not be null");
		zonePrices = Map.copyOf(zonePrices);
		if (minPerZone < 0 || maxPerZone < minPerZone) {
			throw new IllegalArgumentException(
					"minPerZone must be 0 to maxPerZone but they were " + minPerZone + " and " + maxPerZone);
		}
	}

}
