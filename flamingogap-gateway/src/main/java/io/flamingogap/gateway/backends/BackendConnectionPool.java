package io.flamingogap.gateway.backends;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;

import io.flamingogap.core.servers.ServerRegistration;

/**
 * Connections to backend servers, kept for reuse. Used on the event loop only.
 */
public final class BackendConnectionPool {

	/**
	 * Longer than the round trip to another region, shorter than a lost opening packet.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	/** A connection that was idle for longer may be dead without a sign. */
	private static final long MAX_IDLE_MILLIS = 4_000;

	/** The same for requests that can't be repeated if the connection turns out dead. */
	private static final long MAX_IDLE_UNREPEATABLE_MILLIS = 1_000;

	private final EventLoop loop;

	private final BackendProtocol protocol;

	private final LongSupplier steadyMillis;

	private final Map<String, Deque<BackendConnection>> idle = new HashMap<>();

	private long opened;

	/**
	 * Create a pool.
	 * @param loop the event loop
	 * @param protocol what servers speak
	 * @param steadyMillis tells the present time
	 */
	public BackendConnectionPool(EventLoop loop, BackendProtocol protocol, LongSupplier steadyMillis) {
		this.loop = loop;
		this.protocol = protocol;
		this.steadyMillis = steadyMillis;
	}

	/**
	 * Send a request to a server.
	 * @param dispatch the dispatch
	 * @param repeatable whether the request may be sent again if the connection is dead
	 * @param answers takes the answer
	 * @return the call while it is open
	 */
	public BackendCall send(BackendRequest dispatch, boolean repeatable, AnswerListener answers) {
		BackendCall call = new BackendCall();
		BackendConnection kept = pollIdle(dispatch.server().id(),
				repeatable ? MAX_IDLE_MILLIS : MAX_IDLE_UNREPEATABLE_MILLIS);
		if (kept != null) {
			call.attach(kept);
			kept.send(dispatch, answers);
			return call;
		}
		this.opened++;
		connect(dispatch.server()).addListener((future) -> {
			if (call.isCancelled()) {
				((ChannelFuture) future).channel().close();
			}
			else if (future.isSuccess()) {
				BackendConnection connection = ((ChannelFuture) future).channel()
					.pipeline()
					.get(BackendConnection.class);
				call.attach(connection);
				connection.send(dispatch, answers);
			}
			else {
				answers.onNotSent("no connection to " + dispatch.server().address());
			}
		});
		return call;
	}

	private ChannelFuture connect(ServerRegistration server) {
		return new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(), new BackendConnection(BackendConnectionPool.this.protocol,
								BackendConnectionPool.this, server.id(), channel));
				}
			})
			.connect(server.address().host(), server.address().port());
	}

	private BackendConnection pollIdle(String server, long maxIdleMillis) {
		Deque<BackendConnection> kept = this.idle.get(server);
		long nowMillis = this.steadyMillis.getAsLong();
		while (kept != null && !kept.isEmpty()) {
			BackendConnection newest = kept.peekLast();
			if (newest.isUsable(nowMillis, maxIdleMillis)) {
				return kept.pollLast();
			}
			if (newest.isUsable(nowMillis, MAX_IDLE_MILLIS)) {
				return null;
			}
			kept.pollLast();
			newest.close();
		}
		return null;
	}

	void release(BackendConnection connection) {
		connection.idleSince(this.steadyMillis.getAsLong());
		this.idle.computeIfAbsent(connection.serverId(), (server) -> new ArrayDeque<>()).addLast(connection);
	}

	void forget(BackendConnection connection) {
		Deque<BackendConnection> kept = this.idle.get(connection.serverId());
		if (kept != null) {
			kept.remove(connection);
		}
	}

	/**
	 * Close the idle connections that are too old to be used again.
	 */
	public void closeExpiredConnections() {
		long nowMillis = this.steadyMillis.getAsLong();
		this.idle.values().removeIf((kept) -> {
			while (!kept.isEmpty() && !kept.peekFirst().isUsable(nowMillis, MAX_IDLE_MILLIS)) {
				kept.pollFirst().close();
			}
			return kept.isEmpty();
		});
	}

	/**
	 * Return how many connections were opened or tried.
	 * @return the number since the start
	 */
	public long connectionAttempts() {
		return this.opened;
	}

}
