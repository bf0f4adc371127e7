package io.flamingogap.gateway.relay;

import java.util.function.Predicate;

import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.serving.RouteRule;

/**
 * Selects the versions of a service that a request may be sent to during a rollout, and
 * records the outcomes of requests for the rollout decision.
 */
public interface VersionSelector {

	/**
	 * Return the versions to use for the first dispatch of a request, as a filter of
	 * servers.
	 * @param service the name of the service
	 * @param route the route of the request
	 * @return a filter that accepts the servers that the request may be sent to
	 */
	Predicate<KnownServer> versionFilter(String service, RouteRule route);

	/**
	 * Return the versions to use after a failed dispatch, as a filter of servers.
	 * Excludes the candidate version of a running rollout.
	 * @param service the name of the service
	 * @return a filter that accepts the servers that the request may be sent to
	 */
	Predicate<KnownServer> versionFilterForRetry(String service);

	/**
	 * Record the outcome of a dispatch.
	 * @param server the server that the request was sent to
	 * @param route the route of the request
	 * @param failed whether the server failed and may have run the request; {@code false}
	 * also for a request that the server rejected
	 * @param latencyMillis the time from sending the request to the end of a plain
	 * response, the first event of a stream or the failure; 0 if the response was
	 * discarded
	 */
	void recordOutcome(ServerRegistration server, RouteRule route, boolean failed, long latencyMillis);

}
