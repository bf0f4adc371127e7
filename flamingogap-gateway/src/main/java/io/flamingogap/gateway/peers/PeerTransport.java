package io.flamingogap.gateway.peers;

import java.util.concurrent.CompletableFuture;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.http.HttpCallResponse;

/**
 * Sends encoded store calls to other nodes.
 */
@FunctionalInterface
interface PeerTransport {

	/**
	 * Send a call.
	 * @param peer the address of the other node
	 * @param call the encoded call
	 * @param timeoutMillis the time allowed for the whole response, in milliseconds
	 * @return completes on the event loop with the response, whatever its status, or
	 * exceptionally
	 */
	CompletableFuture<HttpCallResponse> send(Address peer, byte[] call, long timeoutMillis);

}
