package io.flamingogap.gateway.callers;

import java.util.List;
import java.util.Optional;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.http.SimpleHttpServer;

/**
 * Parses the lookups with which callers find the entry nodes to connect to, and encodes
 * the responses.
 */
public interface DirectoryProtocol {

	/**
	 * Return the availability zone of the caller that a lookup names.
	 * @param request the request
	 * @return the zone; empty if the request isn't a lookup
	 */
	Optional<String> zoneOf(SimpleHttpServer.Request request);

	/**
	 * Encode the response to a lookup.
	 * @param addresses the addresses of the entry nodes to connect to
	 * @param ttlSeconds how long callers may cache the response, in seconds
	 * @return the response
	 */
	SimpleHttpServer.Response encodeResponse(List<Address> addresses, int ttlSeconds);

}
