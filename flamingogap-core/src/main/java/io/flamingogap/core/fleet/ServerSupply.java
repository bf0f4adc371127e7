package io.flamingogap.core.fleet;

import java.util.Collection;
import java.util.Map;
import java.util.Set;

/**
 * Reclaimable servers of a service, and the zones where servers of either kind can't be
 * ordered now.
 *
 * @param ready the reclaimable servers that take requests, by zone
 * @param booting the reclaimable servers that were granted and will take requests soon,
 * by zone
 * @param exhaustedZones the zones that have no more reclaimable servers now
 * @param fullPriceLimits the maximum number of full-price servers by zone, for the zones
 * that have no more of them now
 */
public record ServerSupply(Map<String, Integer> ready, Map<String, Integer> booting, Set<String> exhaustedZones,
		Map<String, Integer> fullPriceLimits) {

	public ServerSupply {
		ready = Map.copyOf(ready);
		booting = Map.copyOf(booting);
		exhaustedZones = Set.copyOf(exhaustedZones);
		fullPriceLimits = Map.copyOf(fullPriceLimits);
	}

	/**
	 * Return the supply without the servers that are booting.
	 * @return a copy that counts only servers that take requests
	 */
	public ServerSupply readyOnly() {
		return new ServerSupply(this.ready, Map.of(), this.exhaustedZones, this.fullPriceLimits);
	}

	int readyOrBooting(String zone) {
		return this.ready.getOrDefault(zone, 0) + this.booting.getOrDefault(zone, 0);
	}

	/**
	 * Return whether reclaimed servers can't be replaced in some zone.
	 * @return {@code true} if a zone has no more reclaimable servers
	 */
	boolean isScarce() {
		return !this.exhaustedZones.isEmpty();
	}

	/**
	 * Return the number of servers that would be left if a zone was reclaimed next. While
	 * servers are scarce, those of the zone with the most don't count; otherwise they can
	 * be replaced and all count.
	 * @param zones the zones to count in
	 * @return the number of reclaimable servers, ready or booting
	 */
	int countDependable(Collection<String> zones) {
		int all = zones.stream().mapToInt(this::readyOrBooting).sum();
		int most = zones.stream().mapToInt(this::readyOrBooting).max().orElse(0);
		return isScarce() ? all - most : all;
	}

}
