package io.flamingogap.gateway.relay;

import java.util.Optional;

import io.flamingogap.core.servers.ColdServers;
import io.flamingogap.core.servers.ColdStartLimiter;
import io.flamingogap.core.servers.ColdStartLimiter.Permit;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.serving.BackendService;
import io.flamingogap.core.serving.ColdStart;
import io.flamingogap.core.serving.ConfigHolder;

/**
 * Admits requests to cold servers. All requests to other servers pass.
 */
public final class ColdStartGate {

	private final ColdServers coldServers;

	private final ColdStartLimiter limiter;

	private final ConfigHolder config;

	private final RelayMetrics metrics;

	/**
	 * Create a gate.
	 * @param coldServers knows which servers are cold
	 * @param limiter limits the requests to them
	 * @param config holds the current configuration
	 * @param metrics counts requests to cold servers
	 */
	public ColdStartGate(ColdServers coldServers, ColdStartLimiter limiter, ConfigHolder config, RelayMetrics metrics) {
		this.coldServers = coldServers;
		this.limiter = limiter;
		this.config = config;
		this.metrics = metrics;
	}

	/**
	 * Return whether servers of a service can be cold.
	 * @param service the name of the service
	 * @return {@code false} if all of them may always be chosen
	 */
	boolean concerns(String service) {
		return this.config.current()
			.flatMap((current) -> current.findService(service))
			.flatMap(BackendService::coldStart)
			.isPresent();
	}

	/**
	 * Return whether a server may be chosen for a request.
	 * @param server the server
	 * @param rank the rank of the request; 0 is the most urgent
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code false} if it is cold and takes no request of this node now
	 */
	boolean mayBeChosen(ServerRegistration server, int rank, long nowMillis) {
		Optional<ColdStart> coldStart = findColdStart(server, nowMillis);
		return coldStart.isEmpty() || this.limiter.maySend(server, coldStart.get(), rank, nowMillis);
	}

	/**
	 * Admit a request that is sent now.
	 * @param server the server
	 * @param rank the rank of the request; 0 is the most urgent
	 * @param nowMillis the current time of the monotonic clock
	 * @return the permit; empty if the request must not be sent to this server
	 */
	Optional<Permit> admit(ServerRegistration server, int rank, long nowMillis) {
		Optional<ColdStart> coldStart = findColdStart(server, nowMillis);
		if (coldStart.isEmpty()) {
			return Optional.of(Permit.NOT_NEEDED);
		}
		Optional<Permit> permit = this.limiter.trySend(server, coldStart.get(), rank, nowMillis);
		this.metrics.increment(permit.isPresent() ? "cold.sent" : "cold.refused");
		return permit;
	}

	/**
	 * Give back the permit of a request that the server didn't receive.
	 * @param permit the permit
	 */
	void giveBack(Permit permit) {
		this.limiter.giveBack(permit);
	}

	private Optional<ColdStart> findColdStart(ServerRegistration server, long nowMillis) {
		return this.config.current()
			.flatMap((current) -> current.findService(server.service()))
			.flatMap(BackendService::coldStart)
			.filter((coldStart) -> this.coldServers.isCold(server.id(), coldStart.coldMillis(), nowMillis));
	}

}
