package io.flamingogap.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * What one node knows of the load of backend servers: the reports, which lag, corrected
 * by the node's own dispatches since, and servers that refused a connection.
 * <p>
 * Not safe for use by several threads.
 */
public final class ServerLoadTable {

	private final Map<String, Load> loads = new HashMap<>();

	private final long avoidMillis;

	/**
	 * Create an empty table.
	 * @param avoidMillis how long a server that refused a connection is avoided
	 */
	public ServerLoadTable(long avoidMillis) {
		this.avoidMillis = avoidMillis;
	}

	/**
	 * Record a dispatch.
	 * @param server the server's name
	 */
	public void recordDispatch(String server) {
		Load load = load(server);
		load.open++;
		load.sentSinceReport++;
	}

	/**
	 * Record the end of a dispatched request.
	 * @param server the server's name
	 */
	public void recordEnd(String server) {
		load(server).open--;
	}

	/**
	 * Record that a connection could not be opened or went silent.
	 * @param server the server's name
	 * @param nowMillis the present time
	 */
	public void recordUnreachable(String server, long nowMillis) {
		load(server).avoidUntilMillis = nowMillis + this.avoidMillis;
	}

	/**
	 * Record what a server reported of itself.
	 * @param server the server's name
	 * @param running the requests it runs or queues, from all nodes
	 */
	public void recordReport(String server, long running) {
		Load load = load(server);
		load.reported = running;
		load.sentSinceReport = 0;
	}

	/**
	 * Estimate the requests that a server runs or queues.
	 * @param server the server's name
	 * @return the larger of the corrected report and the node's own open requests
	 */
	public long estimate(String server) {
		Load load = this.loads.get(server);
		return (load != null) ? Math.max(load.open, load.reported + load.sentSinceReport) : 0;
	}

	/**
	 * Return whether a server is avoided.
	 * @param server the server's name
	 * @param nowMillis the present time
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
