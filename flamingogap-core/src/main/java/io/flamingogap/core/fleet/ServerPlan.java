package io.flamingogap.core.fleet;

import java.util.Objects;

/**
 * How many servers of a kind a service should have in a zone.
 *
 * @param service the service
 * @param zone the availability zone
 * @param reclaimable whether the servers may be reclaimed at short notice
 * @param servers the number
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
	 * Return the plan with another number.
	 * @param number the number of servers
	 * @return a plan for the same zone and kind
	 */
	public ServerPlan withServers(int number) {
		return new ServerPlan(this.service, this.zone, this.reclaimable, number);
	}

}
