package io.flamingogap.core.servers;

import java.util.Objects;

import io.flamingogap.core.node.Address;

/**
 * Record that a backend server registers about itself.
 *
 * @param id the id of the server, which may stay the same after a restart
 * @param service the service that the server belongs to
 * @param address where the server takes requests
 * @param zone the availability zone
 * @param version the version of the server's software
 * @param slots the number of requests that the server runs concurrently
 * @param draining whether the server is about to stop and gets no new requests
 * @param reclaimable whether the instance can be reclaimed at short notice
 * @param startedAtMillis the start time in milliseconds since 1970 UTC; 0 if unknown
 * @param sequence the number of the record; a later record of the same run of the server
 * has a greater one
 * @param remainingColdTime how much longer the server is cold, counted from when it wrote
 * the record
 */
public record ServerRegistration(String id, String service, Address address, String zone, String version, int slots,
		boolean draining, boolean reclaimable, long startedAtMillis, long sequence,
		RemainingColdTime remainingColdTime) {

	public ServerRegistration {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(zone, "zone must not be null");
		Objects.requireNonNull(version, "version must not be null");
		Objects.requireNonNull(remainingColdTime, "remainingColdTime must not be null");
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive but was " + slots);
		}
	}

	/**
	 * Create the record of a server that isn't cold.
	 * @param id the id of the server, which may stay the same after a restart
	 * @param service the service that the server belongs to
	 * @param address where the server takes requests
	 * @param zone the availability zone
	 * @param version the version of the server's software
	 * @param slots the number of requests that the server runs concurrently
	 * @param draining whether the server is about to stop and gets no new requests
	 * @param reclaimable whether the instance can be reclaimed at short notice
	 * @param startedAtMillis the start time in milliseconds since 1970 UTC; 0 if unknown
	 * @param sequence the number of the record
	 */
	public ServerRegistration(String id, String service, Address address, String zone, String version, int slots,
			boolean draining, boolean reclaimable, long startedAtMillis, long sequence) {
		this(id, service, address, zone, version, slots, draining, reclaimable, startedAtMillis, sequence,
				RemainingColdTime.ZERO);
	}

	/**
	 * Return whether another registration is of the same run of the server.
	 * @param other a registration with the same id
	 * @return {@code false} if the server restarted in between or has another address, so
	 * that the estimates of its load, health and cache are no longer valid
	 */
	boolean isSameRun(ServerRegistration other) {
		return this.startedAtMillis == other.startedAtMillis && this.address.equals(other.address);
	}

}
