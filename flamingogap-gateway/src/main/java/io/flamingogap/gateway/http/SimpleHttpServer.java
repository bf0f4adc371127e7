package io.flamingogap.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.limits.HeldBytes;
import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.memory.AcceptedConnection;
import io.flamingogap.gateway.memory.AcceptedConnections;
import io.flamingogap.gateway.memory.AnswerMemory;
import io.flamingogap.gateway.memory.BytesHolder;

/**
 * Serves small HTTP requests outside the request path: readiness, the directory, metrics,
 * and calls of other nodes.
 */
public final class SimpleHttpServer {

	/** The largest accepted request. Only the calls of other nodes have a body. */
	private static final int MAX_REQUEST_BYTES = 65_536;

	/**
	 * A connection on which nothing was read for this time is closed. Long enough that a
	 * connection stays open between the platform's readiness checks, which come once a
	 * second.
	 */
	private static final int IDLE_SECONDS = 30;

	/** How much of its answers may wait for a client that sends more requests. */
	private static final WriteBufferWaterMark UNREAD_BYTES = new WriteBufferWaterMark(8_192, 16_384);

	/** Other nodes send one request at a time. */
	private static final int MAX_OPEN_REQUESTS = 16;

	private SimpleHttpServer() {
	}

	/**
	 * Start accepting connections. Ends the process if the address can't be bound.
	 * @param loop the event loop that handles all connections
	 * @param address the address to listen on
	 * @param connections limits the connections and the memory for requests
	 * @param answerMemory limits the memory for answers that were not read
	 * @param requestHandler responds to requests; called on the event loop
	 */
	public static void listen(EventLoop loop, Address address, AcceptedConnections connections,
			AnswerMemory answerMemory, Function<Request, CompletableFuture<Response>> requestHandler) {
		ReadTurns turns = new ReadTurns(loop);
		new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNREAD_BYTES)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					RequestHandler handler = new RequestHandler(requestHandler, answerMemory);
					RequestCollector collector = new RequestCollector(connections, handler);
					channel.pipeline()
						.addLast(turns.newReader(), collector.new Meter(),
								new HttpServerCodec(collector.countLines(new HttpDecoderConfig())), collector,
								new HttpObjectAggregator(MAX_REQUEST_BYTES), new IdleStateHandler(IDLE_SECONDS, 0, 0),
								handler);
				}
			})
			.bind(address.host(), address.port())
			.addListener(new ExitOnBindFailure(address));
	}

	/**
	 * A complete request.
	 *
	 * @param method the name of the HTTP method
	 * @param uri path and query
	 * @param body the body; empty if there is none
	 */
	public record Request(String method, String uri, byte[] body) {
	}

	/**
	 * A complete response.
	 *
	 * @param status the HTTP status
	 * @param contentType the value of the content type header
	 * @param body the body; may be empty
	 */
	public record Response(int status, String contentType, byte[] body) {

		/**
		 * Create a plain text response.
		 * @param status the HTTP status
		 * @param text the body
		 * @return the response
		 */
		public static Response text(int status, String text) {
			return new Response(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
		}

	}

	private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest>
			implements AcceptedConnection, BytesHolder {

		private final Function<Request, CompletableFuture<Response>> requestHandler;

		private final AnswerMemory answerMemory;

		private int openRequests;

		private @Nullable ChannelHandlerContext context;

		private RequestHandler(Function<Request, CompletableFuture<Response>> requestHandler,
				AnswerMemory answerMemory) {
			this.requestHandler = requestHandler;
			this.answerMemory = answerMemory;
		}

		@Override
		public void handlerAdded(ChannelHandlerContext added) {
			this.context = added;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext channel, FullHttpRequest request) {
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			if (!channel.channel().isWritable() || this.openRequests >= MAX_OPEN_REQUESTS) {
				channel.close();
				return;
			}
			this.openRequests++;
			if (!request.decoderResult().isSuccess()) {
				write(channel, Response.text(HttpResponseStatus.BAD_REQUEST.code(), "unreadable request\n"), false);
				return;
			}
			this.requestHandler
				.apply(new Request(request.method().name(), request.uri(), ByteBufUtil.getBytes(request.content())))
				.thenAccept((response) -> write(channel, response, keepAlive));
		}

		private void write(ChannelHandlerContext channel, Response response, boolean keepAlive) {
			this.openRequests--;
			FullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
			message.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
			HttpUtil.setContentLength(message, message.content().readableBytes());
			HttpUtil.setKeepAlive(message, keepAlive);
			channel.writeAndFlush(message)
				.addListener((result) -> recordUnreadBytes())
				.addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
			recordUnreadBytes();
		}

		private long unsentBytes() {
			ChannelHandlerContext channel = this.context;
			ChannelOutboundBuffer unread = (channel != null) ? channel.channel().unsafe().outboundBuffer() : null;
			return (unread != null) ? unread.totalPendingWriteBytes() : 0;
		}

		private void recordUnreadBytes() {
			this.answerMemory.set(this, HeldBytes.Kind.UNREAD, unsentBytes());
		}

		@Override
		public boolean isServing() {
			return this.openRequests > 0;
		}

		@Override
		public boolean hasUnsentBytes() {
			// Other nodes and the platform's checks don't hold up a planned stop.
			return false;
		}

		@Override
		public void refuseArriving() {
			close();
		}

		@Override
		public void closeIdle() {
			close();
		}

		@Override
		public void releaseBytes() {
			close();
		}

		private void close() {
			ChannelHandlerContext channel = this.context;
			if (channel != null) {
				channel.close();
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext channel) {
			this.answerMemory.set(this, HeldBytes.Kind.UNREAD, 0);
			channel.fireChannelInactive();
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext channel, Object event) {
			channel.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
			channel.close();
		}

	}

}
