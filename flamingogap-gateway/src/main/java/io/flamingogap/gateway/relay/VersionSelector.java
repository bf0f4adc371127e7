package io.flamingogap.gateway.relay;

import java.util.function.Predicate;

import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.serving.RouteRule;

/**
 * Chooses the versions of a service that a request may go to while a rollout is under
 * way, and takes the outcomes.
 */
public interface VersionSelector {

	/**
	 * Choose the versions for a request.
	 * @param service the service
	 * @param route the route of the request
	 * @return which servers may get the request
	 */
	Predicate<KnownServer> selectVersions(String service, RouteRule route);

	/**
	 * Choose the versions for a request that failed before: not the one under trial.
	 * @param service the service
	 * @return which servers may get the request
	 */
	Predicate<KnownServer> selectVersionsForRetry(String service);

	/**
	 * Record the outcome of a dispatch.
	 * @param server the server
	 * @param route the route of the request
	 * @param failed whether the server failed
	 * @param latencyMillis the time to the answer or its first event
	 */
	void record(ServerRegistration server, RouteRule route, boolean failed, long latencyMillis);

}
