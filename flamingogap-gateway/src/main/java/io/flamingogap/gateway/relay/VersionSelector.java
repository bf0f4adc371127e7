package io.flamingogap.gateway.relay;

import java.util.function.Predicate;

import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.serving.RouteRule;

/**
 * Selects the versions of a service that a request may be sent to during a rollout, and
 * observes the dispatches for the rollout decision.
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
	 * Observe a dispatch for the rollout decision.
	 * @param server the server that the request is sent to
	 * @param route the route of the request
	 * @param nowMillis the current time on the monotonic clock
	 * @return the observation; {@link DispatchObservation#NONE} if no rollout of the
	 * service is running
	 */
	DispatchObservation observe(ServerRegistration server, RouteRule route, long nowMillis);

}
