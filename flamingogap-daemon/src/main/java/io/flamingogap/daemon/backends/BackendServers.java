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
 * What this node knows of the backend servers, shared by its threads.
 */
public final class BackendServers {

	private static final long AVOID_MILLIS = 2_000;

	private static final long FORGET_LEAVING_MILLIS = 600_000;

	private static final int RETRY_SHARE_PERCENT = 10;

	private static final int MAX_SAVED_RETRIES = 20;

	private final ServerLoadTable loads = new ServerLoadTable(AVOID_MILLIS);

	private final LeavingServers leaving = new LeavingServers(FORGET_LEAVING_MILLIS);

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private final Supplier<Manifest> manifest;

	private final String ownZone;

	/**
	 * Create the table.
	 * @param manifest the manifest in force
	 * @param ownZone the zone of this node
	 */
	public BackendServers(Supplier<Manifest> manifest, String ownZone) {
		this.manifest = manifest;
		this.ownZone = ownZone;
	}

	/**
	 * Choose a server and count a dispatch to it. The caller reports the end.
	 * @param query which servers may take the request
	 * @param nowMillis the present time
	 * @return the server, if one can take the request
	 */
	public synchronized Optional<BackendServer> acquire(ServerQuery query, long nowMillis) {
		Optional<BackendServer> chosen = LeastLoadedSelector.choose(this.manifest.get(), query, this.ownZone,
				this.loads, this.leaving, nowMillis);
		chosen.ifPresent((server) -> this.loads.recordDispatch(server.name()));
		return chosen;
	}

	/**
	 * Report the end of a dispatch.
	 * @param server the server
	 */
	public synchronized void release(BackendServer server) {
		this.loads.recordEnd(server.name());
	}

	/**
	 * Report a server that could not be reached or went silent.
	 * @param server the server
	 * @param nowMillis the present time
	 */
	public synchronized void reportUnreachable(BackendServer server, long nowMillis) {
		this.loads.recordUnreachable(server.name(), nowMillis);
	}

	/**
	 * Take in a server's own load report.
	 * @param server the server's name
	 * @param running the requests it runs or queues
	 */
	public synchronized void reportLoad(String server, long running) {
		this.loads.recordReport(server, running);
	}

	/**
	 * Mark a server as leaving.
	 * @param server the server's name
	 * @param nowMillis the present time
	 * @return {@code true} if it was not marked before
	 */
	public synchronized boolean markLeaving(String server, long nowMillis) {
		return this.leaving.add(server, nowMillis);
	}

	/**
	 * Return whether a server is leaving.
	 * @param server the server's name
	 * @param nowMillis the present time
	 * @return {@code true} if it gets no new work
	 */
	public synchronized boolean isLeaving(String server, long nowMillis) {
		return this.leaving.isLeaving(server, nowMillis);
	}

	/**
	 * Count a first try of a service.
	 * @param service the service's name
	 */
	public synchronized void recordFirstTry(String service) {
		budget(service).recordFirstTry();
	}

	/**
	 * Spend a retry of a service.
	 * @param service the service's name
	 * @return {@code true} if the retry budget allows it
	 */
	public synchronized boolean trySpendRetry(String service) {
		return budget(service).trySpend();
	}

	private RetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new RetryBudget(RETRY_SHARE_PERCENT, MAX_SAVED_RETRIES));
	}

}
