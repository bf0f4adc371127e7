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
	 * Return the caller's availability zone, which a lookup names.
	 * @param request the request
	 * @return the zone, which may be an empty text if the lookup names none; empty if the
	 * request isn't a lookup
	 */
	Optional<String> parseCallerZone(SimpleHttpServer.Request request);

	/**
	 * Encode the response to a lookup.
	 * @param addresses the addresses of the entry nodes to connect to
	 * @param ttlSeconds how long callers may cache the response, in seconds
	 * @return the response
	 */
	SimpleHttpServer.Response encodeResponse(List<Address> addresses, int ttlSeconds);

}
