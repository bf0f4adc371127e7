package io.flamingogap.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.Address;

/**
 * Makes HTTP calls to one address over pooled connections. Each call has a timeout. A
 * connection whose call failed in any way is closed. Used on the event loop only.
 */
public final class PooledHttpClient {

	/**
	 * The largest accepted response. Exceeds the largest page of the platform's store.
	 */
	private static final int MAX_RESPONSE_BYTES = 8 * 1_048_576;

	/**
	 * A connection that was idle for at least this long isn't used again: it may be dead,
	 * and a new one is cheap.
	 */
	private static final long MAX_IDLE_MILLIS = 3_000;

	/**
	 * The time allowed to connect. The system first retransmits a lost SYN packet after
	 * about this time, so an attempt that loses one usually fails; one that loses two
	 * always fails.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private final EventLoop loop;

	private final Address peer;

	private final Bootstrap bootstrap;

	private final int maxResponseBytes;

	private final Deque<Connection> idleConnections = new ArrayDeque<>();

	/**
	 * Create a client without connections.
	 * @param loop the event loop that runs the connections
	 * @param peer the address to call
	 */
	public PooledHttpClient(EventLoop loop, Address peer) {
		this(loop, peer, CONNECT_TIMEOUT_MILLIS, MAX_RESPONSE_BYTES);
	}

	/**
	 * Create a client without connections.
	 * @param loop the event loop that runs the connections
	 * @param peer the address to call
	 * @param connectTimeoutMillis the time allowed to connect, in milliseconds
	 * @param maxResponseBytes the greatest length of the body of a response, in bytes
	 */
	public PooledHttpClient(EventLoop loop, Address peer, int connectTimeoutMillis, int maxResponseBytes) {
		this.loop = loop;
		this.peer = peer;
		this.maxResponseBytes = maxResponseBytes;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(ClientChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					StrictResponseDecoder decoder = new StrictResponseDecoder();
					channel.pipeline()
						.addLast(ClientChannel.newEndGuard(), new HttpRequestEncoder(), decoder,
								new Connection(channel, decoder));
				}
			});
	}

	/**
	 * Make a call.
	 * @param method the method
	 * @param uri path and query
	 * @param headers the headers besides host and content length
	 * @param body the body; empty for none
	 * @param timeoutMillis the time in milliseconds from sending the request to the whole
	 * response; the time to connect is limited separately
	 * @return completes on the event loop with the response, whatever its status, or
	 * exceptionally with a {@link HttpCallException}. If it is cancelled, the connection
	 * is reset, so that bytes that haven't left this machine are never sent
	 */
	public CompletableFuture<HttpCallResponse> call(HttpMethod method, String uri, Map<String, String> headers,
			byte[] body, long timeoutMillis) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri,
				Unpooled.wrappedBuffer(body));
		headers.forEach((name, value) -> request.headers().set(name, value));
		request.headers().set(HttpHeaderNames.HOST, this.peer.toString());
		request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		CompletableFuture<HttpCallResponse> result = new CompletableFuture<>();
		Connection connection = pollIdleConnection();
		if (connection != null) {
			connection.send(request, result, timeoutMillis);
			return result;
		}
		this.bootstrap.connect(this.peer.host(), this.peer.port()).addListener((connectResult) -> {
			if (result.isDone()) {
				request.release();
				((ChannelFuture) connectResult).channel().close();
			}
			else if (connectResult.isSuccess()) {
				Channel channel = ((ChannelFuture) connectResult).channel();
				channel.pipeline().get(Connection.class).send(request, result, timeoutMillis);
			}
			else {
				request.release();
				result.completeExceptionally(connectFailure(connectResult.cause()));
			}
		});
		return result;
	}

	/**
	 * Open a connection without sending anything. The next call uses it.
	 * @return completes on the event loop once the connection is open, or exceptionally
	 * with a {@link HttpCallException}. If it is cancelled, no connection is kept
	 */
	public CompletableFuture<Void> connect() {
		CompletableFuture<Void> result = new CompletableFuture<>();
		this.bootstrap.connect(this.peer.host(), this.peer.port()).addListener((connectResult) -> {
			Channel channel = ((ChannelFuture) connectResult).channel();
			if (result.isDone()) {
				channel.close();
			}
			else if (connectResult.isSuccess()) {
				channel.pipeline().get(Connection.class).keep();
				result.complete(null);
			}
			else {
				result.completeExceptionally(connectFailure(connectResult.cause()));
			}
		});
		return result;
	}

	private HttpCallException connectFailure(Throwable cause) {
		return new HttpCallException(this.peer.toString(), "can't connect (" + cause + ") to", false);
	}

	/**
	 * Close the connections that no call uses.
	 */
	public void closeIdleConnections() {
		for (Connection connection = this.idleConnections.poll(); connection != null; connection = this.idleConnections
			.poll()) {
			connection.channel.close();
		}
	}

	private Connection pollIdleConnection() {
		long nowNanos = System.nanoTime();
		for (Connection connection = this.idleConnections
			.pollLast(); connection != null; connection = this.idleConnections.pollLast()) {
			if (connection.channel.isActive()
					&& nowNanos - connection.idleSinceNanos < TimeUnit.MILLISECONDS.toNanos(MAX_IDLE_MILLIS)) {
				return connection;
			}
			connection.channel.close();
		}
		return null;
	}

	/**
	 * A connection with at most one call at a time.
	 */
	private final class Connection extends SimpleChannelInboundHandler<HttpObject> {

		private final Channel channel;

		private final StrictResponseDecoder decoder;

		private long idleSinceNanos;

		private CompletableFuture<HttpCallResponse> pendingResponse;

		/** The head of the response; {@code null} until it has arrived. */
		private @Nullable HttpResponse head;

		private ByteBuf body = Unpooled.EMPTY_BUFFER;

		private ScheduledFuture<?> timeout;

		private Connection(Channel channel, StrictResponseDecoder decoder) {
			this.channel = channel;
			this.decoder = decoder;
		}

		private void send(FullHttpRequest request, CompletableFuture<HttpCallResponse> result, long timeoutMillis) {
			this.pendingResponse = result;
			this.decoder.setResponseHasNoBody(request.method().equals(HttpMethod.HEAD));
			this.timeout = PooledHttpClient.this.loop.schedule(
					() -> fail("no response within " + timeoutMillis + " ms from"), timeoutMillis,
					TimeUnit.MILLISECONDS);
			result.whenComplete((response, failure) -> resetIfPending(result));
			this.channel.writeAndFlush(request);
		}

		private void resetIfPending(CompletableFuture<HttpCallResponse> result) {
			if (this.pendingResponse == result) {
				fail("call to be ended by this node, to");
			}
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (this.pendingResponse == null) {
				this.channel.close();
				return;
			}
			if (message.decoderResult().isFailure()) {
				fail("unreadable response (" + message.decoderResult().cause() + ") from");
				return;
			}
			if (message instanceof HttpResponse received
					&& received.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
				this.head = received;
				this.body = Unpooled.buffer();
			}
			if (message instanceof HttpContent content && this.head != null) {
				readContent(this.head, content);
			}
		}

		private void readContent(HttpResponse responseHead, HttpContent content) {
			int maxBytes = PooledHttpClient.this.maxResponseBytes;
			if (content.content().readableBytes() > maxBytes - this.body.readableBytes()) {
				fail("response longer than " + maxBytes + " bytes from");
				return;
			}
			this.body.writeBytes(content.content());
			if (content instanceof LastHttpContent) {
				complete(responseHead);
			}
		}

		private void complete(HttpResponse responseHead) {
			HttpCallResponse response = new HttpCallResponse(responseHead.status().code(), responseHead.headers(),
					ByteBufUtil.getBytes(this.body));
			CompletableFuture<HttpCallResponse> result = takePendingResponse();
			if (result != null && HttpUtil.isKeepAlive(responseHead)) {
				keep();
			}
			else {
				this.channel.close();
			}
			if (result != null) {
				result.complete(response);
			}
		}

		private void keep() {
			this.idleSinceNanos = System.nanoTime();
			PooledHttpClient.this.idleConnections.addLast(this);
		}

		private CompletableFuture<HttpCallResponse> takePendingResponse() {
			CompletableFuture<HttpCallResponse> result = this.pendingResponse;
			this.pendingResponse = null;
			this.head = null;
			this.body = Unpooled.EMPTY_BUFFER;
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
			return result;
		}

		private void fail(String problem) {
			CompletableFuture<HttpCallResponse> result = takePendingResponse();
			if (result != null && this.channel.isActive()) {
				// Resets the connection.
				this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
			}
			this.channel.close();
			PooledHttpClient.this.idleConnections.remove(this);
			if (result != null) {
				result
					.completeExceptionally(new HttpCallException(PooledHttpClient.this.peer.toString(), problem, true));
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			fail("connection closed by");
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			fail("connection broken (" + cause + ") to");
		}

	}

}
