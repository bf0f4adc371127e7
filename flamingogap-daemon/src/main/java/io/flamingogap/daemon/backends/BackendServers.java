package io.flamingogap.daemon.backends;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import io.flamingogap.core.limits.RetryBudget;
import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.routing.LeastLoadedSelector;
import io.flamingogap.core.routing.LeavingServers;
import io.flamingogap.core.routing.ServerLoadTable;
import io.flamingogap.core.routing.ServerQuery;

/**
 * Selects backend servers by their load and reachability as seen by this node, and limits
 * retries for each service. Thread-safe.
 */
public final class BackendServers {

	private static final long UNREACHABLE_AVOID_MILLIS = 2_000;

	private static final long LEAVING_EXPIRY_MILLIS = 600_000;

	private static final int RETRY_PERCENT = 10;

	private static final int MAX_SAVED_RETRIES = 20;

	private final ServerLoadTable loadTable = new ServerLoadTable(UNREACHABLE_AVOID_MILLIS);

	private final LeavingServers leaving = new LeavingServers(LEAVING_EXPIRY_MILLIS);

	private final Map<String, RetryBudget> retryBudgets = new HashMap<>();

	private final Supplier<Manifest> manifest;

	private final String ownZone;

	/**
	 * Create an instance without knowledge of any server's load.
	 * @param manifest supplies the manifest in force
	 * @param ownZone the availability zone of this node
	 */
	public BackendServers(Supplier<Manifest> manifest, String ownZone) {
		this.manifest = manifest;
		this.ownZone = ownZone;
	}

	/**
	 * Choose a server and count a dispatch to it. The caller must {@link #release} the
	 * server.
	 * @param query the conditions that the server must meet
	 * @param nowMillis the current time in milliseconds
	 * @return the server, or empty if no server meets the conditions
	 */
	public synchronized Optional<BackendServer> acquire(ServerQuery query, long nowMillis) {
		Optional<BackendServer> chosen = LeastLoadedSelector.choose(this.manifest.get(), query, this.ownZone,
				this.loadTable, this.leaving, nowMillis);
		chosen.ifPresent((server) -> this.loadTable.recordDispatch(server.name()));
		return chosen;
	}

	/**
	 * Record the end of a dispatch.
	 * @param server the server that {@link #acquire} returned
	 */
	public synchronized void release(BackendServer server) {
		this.loadTable.recordEnd(server.name());
	}

	/**
	 * Record that a server could not be reached or stopped sending, so that it is avoided
	 * for a while.
	 * @param server the server
	 * @param nowMillis the current time in milliseconds
	 */
	public synchronized void reportUnreachable(BackendServer server, long nowMillis) {
		this.loadTable.recordUnreachable(server.name(), nowMillis);
	}

	/**
	 * Record the load that a server reported.
	 * @param server the server's name
	 * @param running the number of requests that it runs or queues
	 */
	public synchronized void reportLoad(String server, long running) {
		this.loadTable.recordReport(server, running);
	}

	/**
	 * Mark a server as leaving, so that it receives no new requests.
	 * @param server the server's name
	 * @param nowMillis the current time in milliseconds
	 * @return {@code true} if the server was not marked before
	 */
	public synchronized boolean markLeaving(String server, long nowMillis) {
		return this.leaving.add(server, nowMillis);
	}

	/**
	 * Return whether a server is marked as leaving.
	 * @param server the server's name
	 * @param nowMillis the current time in milliseconds
	 * @return {@code true} if the server receives no new requests
	 */
	public synchronized boolean isLeaving(String server, long nowMillis) {
		return this.leaving.isLeaving(server, nowMillis);
	}

	/**
	 * Record the first attempt of a request, which increases the service's retry budget.
	 * @param service the service's name
	 */
	public synchronized void recordFirstTry(String service) {
		retryBudget(service).recordFirstTry();
	}

	/**
	 * Take one retry from the retry budget of a service.
	 * @param service the service's name
	 * @return {@code true} if the budget allows the retry
	 */
	public synchronized boolean trySpendRetry(String service) {
		return retryBudget(service).trySpend();
	}

	private RetryBudget retryBudget(String service) {
		return this.retryBudgets.computeIfAbsent(service, (name) -> new RetryBudget(RETRY_PERCENT, MAX_SAVED_RETRIES));
	}

}
