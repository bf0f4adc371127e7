package io.flamingogap.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Load estimates of backend servers at one node. An estimate combines a server's last
 * report, which may be out of date, with the requests that the node dispatched after it.
 * The table also keeps the servers that could not be reached.
 * <p>
 * Not thread-safe.
 */
public final class ServerLoadTable {

	private final Map<String, Load> loads = new HashMap<>();

	private final long avoidMillis;

	/**
	 * Create an empty table.
	 * @param avoidMillis how long a server that could not be reached is avoided, in
	 * milliseconds
	 */
	public ServerLoadTable(long avoidMillis) {
		this.avoidMillis = avoidMillis;
	}

	/**
	 * Record that this node dispatched a request.
	 * @param server the server's name
	 */
	public void recordDispatch(String server) {
		Load load = load(server);
		load.open++;
		load.sentSinceReport++;
	}

	/**
	 * Record that a request dispatched by this node ended.
	 * @param server the server's name
	 */
	public void recordEnd(String server) {
		load(server).open--;
	}

	/**
	 * Record that a connection could not be opened or timed out.
	 * @param server the server's name
	 * @param nowMillis the current time in milliseconds
	 */
	public void recordUnreachable(String server, long nowMillis) {
		load(server).avoidUntilMillis = nowMillis + this.avoidMillis;
	}

	/**
	 * Record the load that a server reported.
	 * @param server the server's name
	 * @param openRequests the number of requests that it runs or queues, from all nodes
	 */
	public void recordReport(String server, long openRequests) {
		Load load = load(server);
		load.reported = openRequests;
		load.sentSinceReport = 0;
	}

	/**
	 * Estimate the number of requests that a server runs or queues.
	 * @param server the server's name
	 * @return the last report plus the dispatches after it, or the node's own open
	 * requests if they are more; 0 for an unknown server
	 */
	public long estimate(String server) {
		Load load = this.loads.get(server);
		return (load != null) ? Math.max(load.open, load.reported + load.sentSinceReport) : 0;
	}

	/**
	 * Return whether a server should be avoided.
	 * @param server the server's name
	 * @param nowMillis the current time in milliseconds
	 * @return {@code true} if it could not be reached a short time ago
	 */
	public boolean isAvoided(String server, long nowMillis) {
		Load load = this.loads.get(server);
		return load != null && load.avoidUntilMillis > nowMillis;
	}

	private Load load(String server) {
		return this.loads.computeIfAbsent(server, (name) -> new Load());
	}

	private static final class Load {

		private long open;

		private long reported;

		private long sentSinceReport;

		private long avoidUntilMillis = Long.MIN_VALUE;

	}

}
