package io.flamingogap.core.servers;

import java.util.Map;
import java.util.Objects;

/**
 * Availability zone of an entry node, with the regions of all zones.
 *
 * @param zone the node's availability zone
 * @param regionsByZone the region of each zone; a zone without an entry is treated as
 * part of another region
 */
public record NodeLocality(String zone, Map<String, String> regionsByZone) {

	public NodeLocality {
		Objects.requireNonNull(zone, "zone must not be null");
		regionsByZone = Map.copyOf(regionsByZone);
	}

	/**
	 * Return the network distance from the node to a zone.
	 * @param other a zone, which may be the node's own
	 * @return {@link Distance#OTHER_REGION} if the region of either zone is unknown
	 */
	public Distance distanceTo(String other) {
		if (this.zone.equals(other)) {
			return Distance.SAME_ZONE;
		}
		String region = this.regionsByZone.get(this.zone);
		return (region != null && region.equals(this.regionsByZone.get(other))) ? Distance.SAME_REGION
				: Distance.OTHER_REGION;
	}

}
