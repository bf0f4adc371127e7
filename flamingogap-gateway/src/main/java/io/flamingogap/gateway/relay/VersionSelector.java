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
	 * Select the versions for the first dispatch of a request.
	 * @param service the name of the service
	 * @param route the route of the request
	 * @return accepts the servers that the request may be sent to
	 */
	Predicate<KnownServer> versionFilter(String service, RouteRule route);

	/**
	 * Select the versions for a request that has failed before. Excludes the candidate
	 * version of a running rollout.
	 * @param service the name of the service
	 * @return accepts the servers that the request may be sent to
	 */
	Predicate<KnownServer> versionFilterForRetry(String service);

	/**
	 * Record the outcome of a dispatch.
	 * @param server the server that the request was sent to
	 * @param route the route of the request
	 * @param failed whether the server failed
	 * @param latencyMillis the time from sending the request to the end of a plain
	 * response or the first event of a stream; 0 if the response was discarded
	 */
	void recordOutcome(ServerRegistration server, RouteRule route, boolean failed, long latencyMillis);

}
