package io.flamingogap.core.quota;

import java.util.Objects;

/**
 * Entry node that shares the quotas.
 *
 * @param node the name of the node, which is the same for each of its runs
 * @param zone the availability zone of the node
 * @param region the region of the zone
 */
public record QuotaMember(String node, String zone, String region) {

	public QuotaMember {
		Objects.requireNonNull(node, "node must not be null");
		Objects.requireNonNull(zone, "zone must not be null");
		Objects.requireNonNull(region, "region must not be null");
	}

	/**
	 * Return how far another node is away.
	 * @param other a node, which may be this one
	 * @return 0 for the node itself, then 1 for the same zone, 2 for the same region, 3
	 */
	int distanceTo(QuotaMember other) {
		if (this.node.equals(other.node)) {
			return 0;
		}
		if (this.zone.equals(other.zone)) {
			return 1;
		}
		return this.region.equals(other.region) ? 2 : 3;
	}

}
