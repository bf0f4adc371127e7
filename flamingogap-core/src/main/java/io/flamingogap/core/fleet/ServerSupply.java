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
 * @param exhaustedZones the zones where no more reclaimable servers can be ordered now
 * @param fullPriceLimits for each zone where no more full-price servers can be ordered
 * now: the number of them that it may have; other zones have no entry
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

	int countReadyOrBooting(String zone) {
		return this.ready.getOrDefault(zone, 0) + this.booting.getOrDefault(zone, 0);
	}

	/**
	 * Return whether reclaimable servers are scarce, so that a reclaimed one may not be
	 * replaced.
	 * @return {@code true} if some zone is exhausted
	 */
	boolean isScarce() {
		return !this.exhaustedZones.isEmpty();
	}

	/**
	 * Return the number of servers to rely on if a zone is reclaimed next. While servers
	 * are scarce, those of the zone with the most aren't counted. Otherwise reclaimed
	 * servers can be replaced, and all are counted.
	 * @param zones the zones to count in
	 * @return the number of reclaimable servers, ready or booting
	 */
	int countAfterNextReclaim(Collection<String> zones) {
		int all = zones.stream().mapToInt(this::countReadyOrBooting).sum();
		int most = zones.stream().mapToInt(this::countReadyOrBooting).max().orElse(0);
		return isScarce() ? all - most : all;
	}

}
