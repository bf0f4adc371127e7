package io.flamingogap.core.servers;

import java.util.Objects;

import io.flamingogap.core.node.Address;

/**
 * What a backend server says of itself.
 *
 * @param id the identity of this start of the server
 * @param service the service that it belongs to
 * @param address where it takes requests
 * @param zone its availability zone
 * @param version the version of its software
 * @param slots the requests that it runs at once
 * @param draining whether it is about to leave and gets no new requests
 * @param reclaimable whether it can be reclaimed at short notice
 * @param startedAtMillis when it started, in milliseconds since 1970 UTC; 0 if unknown
 */
public record ServerRegistration(String id, String service, Address address, String zone, String version, int slots,
		boolean draining, boolean reclaimable, long startedAtMillis) {

	public ServerRegistration {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(address, "address must not be null");
		Objects.requireNonNull(zone, "zone must not be null");
		Objects.requireNonNull(version, "version must not be null");
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive but was " + slots);
		}
	}

	/**
	 * Return whether another entry is of the same start of the server.
	 * @param other the other entry
	 * @return {@code false} if the server has lost what it held in between
	 */
	boolean isSameStart(ServerRegistration other) {
		return this.startedAtMillis == other.startedAtMillis && this.address.equals(other.address);
	}

}
