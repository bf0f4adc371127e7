package io.flamingogap.gateway.backends;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequestEncoder;

import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.http.ClientChannel;
import io.flamingogap.gateway.http.ReadTurns;

/**
 * Opens connections to backend servers and keeps idle ones for reuse.
 * <p>
 * Not thread-safe; all calls must be made on the event loop.
 */
public final class BackendConnectionPool {

	/**
	 * Longer than a round trip to another region, and shorter than the retransmission
	 * timeout of a lost SYN packet.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	/**
	 * A connection that was idle for longer is not reused, because it may have been lost
	 * without notice.
	 */
	private static final long MAX_IDLE_MILLIS = 4_000;

	/**
	 * Shorter than {@link #MAX_IDLE_MILLIS}, because a request that is not repeatable
	 * can't be sent again if the connection turns out to be lost.
	 */
	private static final long MAX_IDLE_UNREPEATABLE_MILLIS = 1_000;

	/**
	 * A connection holds a buffer of this size while what it received ends inside a line
	 * or a chunk.
	 */
	private static final int MAX_READ_BYTES = 16_384;

	private static final int MIN_READ_BYTES = 512;

	private static final int FIRST_READ_BYTES = 2_048;

	private final EventLoop loop;

	private final ReadTurns readTurns;

	private final BackendProtocol protocol;

	private final LongSupplier steadyMillis;

	private final Map<String, Deque<BackendConnection>> idleByServer = new HashMap<>();

	private long connectionAttempts;

	/**
	 * Create an empty pool.
	 * @param loop the event loop that all connections run on
	 * @param protocol encodes requests and decodes responses
	 * @param steadyMillis a monotonic clock, in milliseconds
	 */
	public BackendConnectionPool(EventLoop loop, BackendProtocol protocol, LongSupplier steadyMillis) {
		this.loop = loop;
		this.readTurns = new ReadTurns(loop);
		this.protocol = protocol;
		this.steadyMillis = steadyMillis;
	}

	/**
	 * Send a request over an idle connection, or over a new one if none can be reused.
	 * @param request the request to send
	 * @param repeatable whether the request may be sent again if the connection turns out
	 * to be lost
	 * @param listener receives the response
	 * @return a handle, to be used only until the listener has received the end of the
	 * response or a failure
	 */
	public BackendCall send(BackendRequest request, boolean repeatable, ResponseListener listener) {
		BackendCall call = new BackendCall();
		BackendConnection idle = pollIdle(request.server().id(),
				repeatable ? MAX_IDLE_MILLIS : MAX_IDLE_UNREPEATABLE_MILLIS);
		if (idle != null) {
			call.attach(idle);
			idle.send(request, listener);
			return call;
		}
		this.connectionAttempts++;
		connect(request.server()).addListener((future) -> {
			if (call.isCancelled()) {
				((ChannelFuture) future).channel().close();
			}
			else if (future.isSuccess()) {
				BackendConnection connection = ((ChannelFuture) future).channel()
					.pipeline()
					.get(BackendConnection.class);
				call.attach(connection);
				connection.send(request, listener);
			}
			else {
				listener.onNotSent("no connection to " + request.server().address() + ": " + future.cause());
			}
		});
		return call;
	}

	/**
	 * Find out whether a server takes connections, by opening and closing one.
	 * @param server the server
	 * @param listener receives {@code true} if the connection was opened
	 */
	public void probe(ServerRegistration server, Consumer<Boolean> listener) {
		this.connectionAttempts++;
		connect(server).addListener((future) -> {
			((ChannelFuture) future).channel().close();
			listener.accept(future.isSuccess());
		});
	}

	private ChannelFuture connect(ServerRegistration server) {
		return new Bootstrap().group(this.loop)
			.channel(ClientChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.AUTO_READ, false)
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					ReadTurns.PacedReader reader = BackendConnectionPool.this.readTurns.newReader();
					BackendResponseDecoder decoder = new BackendResponseDecoder();
					channel.pipeline()
						.addLast(reader, ClientChannel.newEndGuard(), new HttpRequestEncoder(), decoder,
								new BackendConnection(BackendConnectionPool.this.protocol, BackendConnectionPool.this,
										server.id(), channel, reader, decoder));
				}
			})
			.connect(server.address().host(), server.address().port());
	}

	private BackendConnection pollIdle(String serverId, long maxIdleMillis) {
		Deque<BackendConnection> idleConnections = this.idleByServer.get(serverId);
		long nowMillis = this.steadyMillis.getAsLong();
		while (idleConnections != null && !idleConnections.isEmpty()) {
			BackendConnection newest = idleConnections.peekLast();
			if (newest.isReusable(nowMillis, maxIdleMillis)) {
				return idleConnections.pollLast();
			}
			if (newest.isReusable(nowMillis, MAX_IDLE_MILLIS)) {
				return null;
			}
			idleConnections.pollLast();
			newest.close();
		}
		return null;
	}

	void addIdle(BackendConnection connection) {
		connection.markIdle(this.steadyMillis.getAsLong());
		this.idleByServer.computeIfAbsent(connection.serverId(), (serverId) -> new ArrayDeque<>()).addLast(connection);
	}

	void removeIdle(BackendConnection connection) {
		Deque<BackendConnection> idleConnections = this.idleByServer.get(connection.serverId());
		if (idleConnections != null) {
			idleConnections.remove(connection);
		}
	}

	/**
	 * Close the connections that have been idle for too long to be reused.
	 */
	public void closeExpiredConnections() {
		long nowMillis = this.steadyMillis.getAsLong();
		this.idleByServer.values().removeIf((idleConnections) -> {
			while (!idleConnections.isEmpty() && !idleConnections.peekFirst().isReusable(nowMillis, MAX_IDLE_MILLIS)) {
				idleConnections.pollFirst().close();
			}
			return idleConnections.isEmpty();
		});
	}

	/**
	 * Return the number of connection attempts, successful or not.
	 * @return the number since this pool was created
	 */
	public long connectionAttempts() {
		return this.connectionAttempts;
	}

}
