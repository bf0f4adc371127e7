package io.flamingogap.core.fleet;

import java.util.Collection;
import java.util.Map;
import java.util.Set;

/**
 * The reclaimable servers of a service, and where servers of either kind are not to be
 * had.
 *
 * @param ready those that take requests, by zone
 * @param booting those that were granted and will take requests soon, by zone
 * @param dryZones the zones where no reclaimable servers are to be had at the moment
 * @param fullPriceLimits the most full-price servers that a zone can have at the moment,
 * for the zones where no more are to be had
 */
public record ServerSupply(Map<String, Integer> ready, Map<String, Integer> booting, Set<String> dryZones,
		Map<String, Integer> fullPriceLimits) {

	public ServerSupply {
		ready = Map.copyOf(ready);
		booting = Map.copyOf(booting);
		dryZones = Set.copyOf(dryZones);
		fullPriceLimits = Map.copyOf(fullPriceLimits);
	}

	/**
	 * Return the stock as if nothing was booting.
	 * @return the servers that take requests only
	 */
	public ServerSupply readyOnly() {
		return new ServerSupply(this.ready, Map.of(), this.dryZones, this.fullPriceLimits);
	}

	int present(String zone) {
		return this.ready.getOrDefault(zone, 0) + this.booting.getOrDefault(zone, 0);
	}

	/**
	 * Return whether servers that are taken away can't be replaced.
	 * @return {@code true} if a zone is dry
	 */
	boolean isScarce() {
		return !this.dryZones.isEmpty();
	}

	/**
	 * Return the servers that can be counted on: while they are scarce, all but those of
	 * the zone with the most.
	 * @param zones the zones
	 * @return the number
	 */
	int lasting(Collection<String> zones) {
		int all = zones.stream().mapToInt(this::present).sum();
		int most = zones.stream().mapToInt(this::present).max().orElse(0);
		return isScarce() ? all - most : all;
	}

}
