package io.flamingogap.gateway.callers;

import java.util.List;
import java.util.Optional;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.http.SimpleHttpServer;

/**
 * How callers ask where to connect.
 */
public interface DirectoryProtocol {

	/**
	 * Return the zone of the caller.
	 * @param request the request
	 * @return the zone; empty if this isn't a question of where to connect
	 */
	Optional<String> zoneOf(SimpleHttpServer.Request request);

	/**
	 * Write the answer.
	 * @param addresses where to connect
	 * @param ttlSeconds how long the answer holds
	 * @return the page
	 */
	SimpleHttpServer.Response write(List<Address> addresses, int ttlSeconds);

}
