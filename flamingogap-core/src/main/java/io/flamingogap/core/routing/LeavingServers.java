package io.flamingogap.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Set of the backend servers that are about to stop, according to a reclaim notice or the
 * instance list. A server stays in the set until neither source has named it for some
 * time, so that an outdated list can't return it to service.
 * <p>
 * Not thread-safe.
 */
public final class LeavingServers {

	private final Map<String, Long> lastNamedAtMillis = new HashMap<>();

	private final long expiryMillis;

	/**
	 * Create an empty set.
	 * @param expiryMillis how long a server stays in the set after it was last named, in
	 * milliseconds
	 */
	public LeavingServers(long expiryMillis) {
		this.expiryMillis = expiryMillis;
	}

	/**
	 * Add a server, or extend its time in the set.
	 * @param server the server's name
	 * @param nowMillis the current time in milliseconds
	 * @return {@code true} if it was not in the set before; a server whose time has
	 * passed is in the set until {@link #removeExpiredAndList} removes it
	 */
	public boolean add(String server, long nowMillis) {
		return this.lastNamedAtMillis.put(server, nowMillis) == null;
	}

	/**
	 * Return whether a server is about to stop and must get no new requests.
	 * @param server the server's name
	 * @param nowMillis the current time in milliseconds
	 * @return {@code true} if it is in the set and its time hasn't passed
	 */
	public boolean isLeaving(String server, long nowMillis) {
		Long namedAtMillis = this.lastNamedAtMillis.get(server);
		return namedAtMillis != null && nowMillis - namedAtMillis <= this.expiryMillis;
	}

	/**
	 * Remove the servers whose time has passed, and return the remaining ones.
	 * @param nowMillis the current time in milliseconds
	 * @return the names of the servers, sorted
	 */
	public Set<String> removeExpiredAndList(long nowMillis) {
		this.lastNamedAtMillis.values().removeIf((namedAtMillis) -> nowMillis - namedAtMillis > this.expiryMillis);
		return new TreeSet<>(this.lastNamedAtMillis.keySet());
	}

}
