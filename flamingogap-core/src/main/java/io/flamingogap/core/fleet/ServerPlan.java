package io.flamingogap.core.fleet;

import java.util.Objects;

/**
 * Planned number of servers of one kind for a service in a zone.
 *
 * @param service the name of the service
 * @param zone the availability zone
 * @param reclaimable whether the servers are of the cheap kind that can be reclaimed at
 * short notice, rather than full-price servers
 * @param servers the planned number
 */
public record ServerPlan(String service, String zone, boolean reclaimable, int servers) {

	public ServerPlan {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(zone, "zone must not be null");
		if (servers < 0) {
			throw new IllegalArgumentException("servers must not be negative but was " + servers);
		}
	}

	/**
	 * Return a copy of the plan with another number of servers.
	 * @param number the planned number
	 * @return a plan for the same service, zone and kind
	 */
	public ServerPlan withServers(int number) {
		return new ServerPlan(this.service, this.zone, this.reclaimable, number);
	}

}
