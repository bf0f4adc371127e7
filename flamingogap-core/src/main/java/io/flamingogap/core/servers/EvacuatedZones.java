package io.flamingogap.core.servers;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Availability zones whose servers get nothing new, as operators order by records. The
 * newest record of a zone decides, in whatever order records arrive.
 * <p>
 * Not thread-safe.
 */
public final class EvacuatedZones {

	private final Set<String> knownZones;

	private final Map<String, ZoneOrder> orders = new HashMap<>();

	private Set<String> evacuated = Set.of();

	/**
	 * Create the state without evacuations.
	 * @param knownZones the zones of the platform; orders for others are ignored
	 */
	public EvacuatedZones(Set<String> knownZones) {
		this.knownZones = Set.copyOf(knownZones);
	}

	/**
	 * Apply the record of a zone.
	 * @param zone the zone
	 * @param isEvacuated whether the record orders an evacuation; otherwise it takes the
	 * evacuation back
	 * @param offset the offset of the record in the store
	 * @return what has changed
	 */
	public Outcome apply(String zone, boolean isEvacuated, long offset) {
		if (!this.knownZones.contains(zone)) {
			return Outcome.UNKNOWN_ZONE;
		}
		ZoneOrder last = this.orders.get(zone);
		if (last != null && offset <= last.offset()) {
			return Outcome.OUTDATED;
		}
		this.orders.put(zone, new ZoneOrder(isEvacuated, offset));
		if (isEvacuated == contains(zone)) {
			return Outcome.UNCHANGED;
		}
		this.evacuated = this.orders.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().isEvacuated())
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
		return Outcome.CHANGED;
	}

	/**
	 * Take back the evacuations that a complete listing of the store doesn't contain.
	 * Orders from before the listing that arrive later don't count.
	 * @param listed the zones whose evacuation is listed
	 * @param endOffset the offset in the store at which the listing was taken; newer
	 * orders stay
	 * @return the zones whose evacuation was taken back
	 */
	public Set<String> retain(Set<String> listed, long endOffset) {
		return this.knownZones.stream()
			.filter((zone) -> !listed.contains(zone))
			.filter((zone) -> apply(zone, false, endOffset - 1) == Outcome.CHANGED)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Return whether a zone is evacuated.
	 * @param zone the zone
	 * @return {@code true} from an order until it is taken back
	 */
	public boolean contains(String zone) {
		return this.evacuated.contains(zone);
	}

	/**
	 * Return the zones that are evacuated.
	 * @return an immutable set
	 */
	public Set<String> zones() {
		return this.evacuated;
	}

	private record ZoneOrder(boolean isEvacuated, long offset) {
	}

	/**
	 * What a record of a zone has changed.
	 */
	public enum Outcome {

		/** The zone is evacuated from now on, or no longer. */
		CHANGED,

		/** The record orders what was in force before. */
		UNCHANGED,

		/** The record is older than one that was applied. */
		OUTDATED,

		/** The platform has no such zone. */
		UNKNOWN_ZONE

	}

}
