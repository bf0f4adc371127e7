package io.flamingogap.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;

import io.flamingogap.core.node.Address;

/**
 * Calls one peer over kept connections, each with a bound on the whole call. A connection
 * whose call failed in any way is closed. Used on the event loop only.
 */
public final class PooledHttpClient {

	/**
	 * The largest answer that is read; above the largest page of the platform's store.
	 */
	private static final int MAX_REPLY_BYTES = 8 * 1_048_576;

	/** A connection that was idle for longer may be dead; a new one is cheap. */
	private static final long MAX_IDLE_MILLIS = 3_000;

	/** Two lost opening packets take longer than this. */
	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private final EventLoop loop;

	private final Address peer;

	private final Bootstrap bootstrap;

	private final Deque<Connection> idle = new ArrayDeque<>();

	/**
	 * Create a caller.
	 * @param loop the event loop
	 * @param peer the address to call
	 */
	public PooledHttpClient(EventLoop loop, Address peer) {
		this.loop = loop;
		this.peer = peer;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_REPLY_BYTES),
								new Connection(channel));
				}
			});
	}

	/**
	 * Make a call.
	 * @param method the method
	 * @param uri path and query
	 * @param headers further headers
	 * @param body the body; empty for none
	 * @param timeoutMillis the bound on the whole call
	 * @return the answer, or a {@link HttpCallException}
	 */
	public CompletableFuture<HttpReply> call(HttpMethod method, String uri, Map<String, String> headers, byte[] body,
			long timeoutMillis) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri,
				Unpooled.wrappedBuffer(body));
		headers.forEach((name, value) -> request.headers().set(name, value));
		request.headers().set(HttpHeaderNames.HOST, this.peer.toString());
		request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		CompletableFuture<HttpReply> reply = new CompletableFuture<>();
		Connection kept = pollIdle();
		if (kept != null) {
			kept.send(request, reply, timeoutMillis);
			return reply;
		}
		this.bootstrap.connect(this.peer.host(), this.peer.port()).addListener((connected) -> {
			if (connected.isSuccess()) {
				Channel channel = ((ChannelFuture) connected).channel();
				channel.pipeline().get(Connection.class).send(request, reply, timeoutMillis);
			}
			else {
				request.release();
				reply.completeExceptionally(new HttpCallException(this.peer.toString(), "connect to", false));
			}
		});
		return reply;
	}

	private Connection pollIdle() {
		long nowNanos = System.nanoTime();
		for (Connection kept = this.idle.pollLast(); kept != null; kept = this.idle.pollLast()) {
			if (kept.channel.isActive()
					&& nowNanos - kept.idleSinceNanos < TimeUnit.MILLISECONDS.toNanos(MAX_IDLE_MILLIS)) {
				return kept;
			}
			kept.channel.close();
		}
		return null;
	}

	/**
	 * One connection, with at most one call at a time.
	 */
	private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final Channel channel;

		private long idleSinceNanos;

		private CompletableFuture<HttpReply> waiting;

		private ScheduledFuture<?> timeout;

		private Connection(Channel channel) {
			this.channel = channel;
		}

		private void send(FullHttpRequest request, CompletableFuture<HttpReply> reply, long timeoutMillis) {
			this.waiting = reply;
			this.timeout = PooledHttpClient.this.loop.schedule(() -> fail("timed out waiting for"), timeoutMillis,
					TimeUnit.MILLISECONDS);
			this.channel.writeAndFlush(request);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			CompletableFuture<HttpReply> reply = take();
			if (reply == null || !response.decoderResult().isSuccess()) {
				this.channel.close();
			}
			else if (HttpUtil.isKeepAlive(response)) {
				this.idleSinceNanos = System.nanoTime();
				PooledHttpClient.this.idle.addLast(this);
			}
			else {
				this.channel.close();
			}
			if (reply != null && response.decoderResult().isSuccess()) {
				reply.complete(new HttpReply(response.status().code(), ByteBufUtil.getBytes(response.content())));
			}
			else if (reply != null) {
				reply.completeExceptionally(
						new HttpCallException(PooledHttpClient.this.peer.toString(), "unreadable answer of", true));
			}
		}

		private CompletableFuture<HttpReply> take() {
			CompletableFuture<HttpReply> reply = this.waiting;
			this.waiting = null;
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
			return reply;
		}

		private void fail(String step) {
			CompletableFuture<HttpReply> reply = take();
			this.channel.close();
			PooledHttpClient.this.idle.remove(this);
			if (reply != null) {
				reply.completeExceptionally(new HttpCallException(PooledHttpClient.this.peer.toString(), step, true));
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			fail("connection closed by");
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			fail("connection broken (" + cause.getMessage() + ") to");
		}

	}

}
