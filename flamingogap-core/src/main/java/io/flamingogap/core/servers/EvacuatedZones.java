package io.flamingogap.core.servers;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Availability zones whose servers get nothing new, as operators order by records. The
 * newest record of a zone decides, in whatever order records arrive. When the store
 * returns from an earlier copy, the copy may lack the newest record; what it says against
 * an order that this node knows is held until the operators have had time to write the
 * order again.
 * <p>
 * Not thread-safe.
 */
public final class EvacuatedZones {

	/** Lower than the offset of any record. */
	private static final long UNKNOWN_OFFSET = -1;

	private static final long NOT_HELD = Long.MAX_VALUE;

	private final Set<String> knownZones;

	private final Map<String, ZoneOrder> orders = new HashMap<>();

	private final Map<String, ZoneOrder> heldOrders = new HashMap<>();

	private Set<String> evacuated = Set.of();

	/**
	 * The end of the first listing after a return of the store. Records from before it
	 * may come from the copy.
	 */
	private long copiedUntilOffset;

	private boolean copyListed;

	private long heldUntilMillis = NOT_HELD;

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
		return apply(zone, new ZoneOrder(isEvacuated, offset, isEvacuated), offset < this.copiedUntilOffset);
	}

	private Outcome apply(String zone, ZoneOrder order, boolean maybeFromCopy) {
		if (!this.knownZones.contains(zone)) {
			return Outcome.UNKNOWN_ZONE;
		}
		ZoneOrder last = this.orders.get(zone);
		if (last != null && order.offset() <= last.offset()) {
			return Outcome.OUTDATED;
		}
		if (maybeFromCopy && this.heldUntilMillis != NOT_HELD && last != null && last.isContradictedBy(order)) {
			this.heldOrders.put(zone, order);
			return Outcome.HELD;
		}
		this.heldOrders.remove(zone);
		return put(zone, order);
	}

	private Outcome put(String zone, ZoneOrder order) {
		ZoneOrder last = this.orders.get(zone);
		this.orders.put(zone, (last != null) ? order.after(last) : order);
		if (order.isEvacuated() == contains(zone)) {
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
		if (!this.copyListed) {
			this.copyListed = true;
			this.copiedUntilOffset = endOffset;
		}
		ZoneOrder noOrder = new ZoneOrder(false, endOffset - 1, false);
		return this.knownZones.stream()
			.filter((zone) -> !listed.contains(zone))
			.filter((zone) -> apply(zone, noOrder, true) == Outcome.CHANGED)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Forget the offsets of all records, because the store has returned from an earlier
	 * copy and gives them to other records. What is in force stays.
	 * @param heldUntilMillis the time by a monotonic clock, in milliseconds, by which
	 * operators have written the lost records again. Until then, a listing doesn't change
	 * a zone whose orders this node knows, unlike records that are read after it
	 */
	public void forgetOffsets(long heldUntilMillis) {
		this.orders.replaceAll((zone, order) -> order.withOffset(UNKNOWN_OFFSET));
		this.heldOrders.clear();
		this.copyListed = false;
		this.copiedUntilOffset = Long.MAX_VALUE;
		this.heldUntilMillis = heldUntilMillis;
	}

	/**
	 * Apply what the listings have said, once lost records have been written again.
	 * @param nowMillis the current time of the monotonic clock, in milliseconds
	 * @return the zones that are evacuated from now on, or no longer
	 */
	public Set<String> applyHeld(long nowMillis) {
		if (!this.copyListed || nowMillis < this.heldUntilMillis) {
			return Set.of();
		}
		this.heldUntilMillis = NOT_HELD;
		Set<String> changed = this.heldOrders.entrySet()
			.stream()
			.filter((held) -> put(held.getKey(), held.getValue()) == Outcome.CHANGED)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
		this.heldOrders.clear();
		return changed;
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

	/**
	 * The newest order of a zone.
	 *
	 * @param isEvacuated whether the zone is evacuated
	 * @param offset the offset of the record in the store
	 * @param wasEvacuated whether this node has ever known of an evacuation
	 */
	private record ZoneOrder(boolean isEvacuated, long offset, boolean wasEvacuated) {

		private ZoneOrder after(ZoneOrder last) {
			return new ZoneOrder(this.isEvacuated, this.offset, this.wasEvacuated || last.wasEvacuated);
		}

		private ZoneOrder withOffset(long newOffset) {
			return new ZoneOrder(this.isEvacuated, newOffset, this.wasEvacuated);
		}

		/**
		 * Return whether this order was read before the store returned and says something
		 * else. A zone that was never evacuated has no order to contradict.
		 * @param other an order that was read since
		 * @return {@code true} if the other order may be older
		 */
		private boolean isContradictedBy(ZoneOrder other) {
			return this.offset == UNKNOWN_OFFSET && this.wasEvacuated && this.isEvacuated != other.isEvacuated;
		}

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

		/**
		 * Nothing yet: the store has returned from an earlier copy, and the record may be
		 * older than what is in force.
		 */
		HELD,

		/** The platform has no such zone. */
		UNKNOWN_ZONE

	}

}
