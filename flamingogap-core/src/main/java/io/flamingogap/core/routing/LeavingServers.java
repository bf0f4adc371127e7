package io.flamingogap.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The backend servers that are about to leave, by notice or by the instance list. A
 * server stays marked until neither source has named it for a time, so that a lagging
 * list can't bring it back.
 * <p>
 * Not safe for use by several threads.
 */
public final class LeavingServers {

	private final Map<String, Long> namedAtMillis = new HashMap<>();

	private final long forgetAfterMillis;

	/**
	 * Create an empty set.
	 * @param forgetAfterMillis how long a server stays marked after it was last named
	 */
	public LeavingServers(long forgetAfterMillis) {
		this.forgetAfterMillis = forgetAfterMillis;
	}

	/**
	 * Mark a server.
	 * @param server the server's name
	 * @param nowMillis the present time
	 * @return {@code true} if it was not marked before
	 */
	public boolean mark(String server, long nowMillis) {
		return this.namedAtMillis.put(server, nowMillis) == null;
	}

	/**
	 * Return whether a server may get new work.
	 * @param server the server's name
	 * @param nowMillis the present time
	 * @return {@code true} if it is marked
	 */
	public boolean isLeaving(String server, long nowMillis) {
		Long markedAtMillis = this.namedAtMillis.get(server);
		return markedAtMillis != null && nowMillis - markedAtMillis <= this.forgetAfterMillis;
	}

	/**
	 * Return the marked servers.
	 * @param nowMillis the present time
	 * @return the names, sorted
	 */
	public Set<String> names(long nowMillis) {
		this.namedAtMillis.values().removeIf((markedAtMillis) -> nowMillis - markedAtMillis > this.forgetAfterMillis);
		return new TreeSet<>(this.namedAtMillis.keySet());
	}

}
