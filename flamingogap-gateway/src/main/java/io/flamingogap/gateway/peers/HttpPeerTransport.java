package io.flamingogap.gateway.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.http.HttpCallResponse;
import io.flamingogap.gateway.http.PooledHttpClient;

/**
 * Sends store calls as HTTP requests. Used on the event loop only.
 */
final class HttpPeerTransport implements PeerTransport {

	private final EventLoop loop;

	private final Map<Address, PooledHttpClient> clients = new HashMap<>();

	/**
	 * Create a transport without connections.
	 * @param loop the event loop
	 */
	HttpPeerTransport(EventLoop loop) {
		this.loop = loop;
	}

	@Override
	public CompletableFuture<HttpCallResponse> send(Address peer, byte[] call, long timeoutMillis) {
		return this.clients.computeIfAbsent(peer, (address) -> new PooledHttpClient(this.loop, address))
			.call(HttpMethod.POST, "/store", Map.of(), call, timeoutMillis);
	}

}
