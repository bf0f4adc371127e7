package io.flamingogap.core.servers;

import java.util.Map;
import java.util.Objects;

/**
 * Where an entry node stands.
 *
 * @param zone its availability zone
 * @param regionsByZone the region of each zone
 */
public record NodeLocality(String zone, Map<String, String> regionsByZone) {

	public NodeLocality {
		Objects.requireNonNull(zone, "zone must not be null");
		regionsByZone = Map.copyOf(regionsByZone);
	}

	/**
	 * Return how far another zone is.
	 * @param other the other zone
	 * @return the distance
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
