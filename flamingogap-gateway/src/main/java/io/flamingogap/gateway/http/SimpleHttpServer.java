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
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;

import io.flamingogap.core.node.Address;

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

	private SimpleHttpServer() {
	}

	/**
	 * Start accepting connections. Ends the process if the address can't be bound.
	 * @param loop the event loop that handles all connections
	 * @param address the address to listen on
	 * @param requestHandler responds to requests; called on the event loop
	 */
	public static void listen(EventLoop loop, Address address,
			Function<Request, CompletableFuture<Response>> requestHandler) {
		new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES),
								new IdleStateHandler(IDLE_SECONDS, 0, 0), new RequestHandler(requestHandler));
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

	private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Function<Request, CompletableFuture<Response>> requestHandler;

		private RequestHandler(Function<Request, CompletableFuture<Response>> requestHandler) {
			this.requestHandler = requestHandler;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			if (!request.decoderResult().isSuccess()) {
				write(context, Response.text(HttpResponseStatus.BAD_REQUEST.code(), "unreadable request\n"), false);
				return;
			}
			this.requestHandler
				.apply(new Request(request.method().name(), request.uri(), ByteBufUtil.getBytes(request.content())))
				.thenAccept((response) -> write(context, response, keepAlive));
		}

		private static void write(ChannelHandlerContext context, Response response, boolean keepAlive) {
			FullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
			message.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
			HttpUtil.setContentLength(message, message.content().readableBytes());
			HttpUtil.setKeepAlive(message, keepAlive);
			context.writeAndFlush(message)
				.addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			context.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
