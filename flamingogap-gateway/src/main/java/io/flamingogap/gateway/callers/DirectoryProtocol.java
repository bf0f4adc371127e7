package io.flamingogap.gateway.callers;

import java.util.List;
import java.util.Optional;

import io.flamingogap.core.fleet.EntryNodePlacement;
import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.http.SimpleHttpServer;

/**
 * Parses the lookups with which callers find the entry nodes to connect to, and encodes
 * the responses.
 */
public interface DirectoryProtocol {

	/**
	 * Parse a lookup.
	 * @param request the request
	 * @return the lookup; empty if the request isn't one
	 */
	Optional<EntryNodePlacement.Lookup> parseLookup(SimpleHttpServer.Request request);

	/**
	 * Encode the response to a lookup.
	 * @param addresses the addresses of the entry nodes to connect to
	 * @param ttlSeconds how long callers may cache the response, in seconds
	 * @return the response
	 */
	SimpleHttpServer.Response encodeResponse(List<Address> addresses, int ttlSeconds);

}
