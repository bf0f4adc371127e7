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
 * Serves small pages: readiness, the directory, metrics.
 */
public final class SimpleHttpServer {

	/** Requests for pages have no body worth reading. */
	private static final int MAX_REQUEST_BYTES = 65_536;

	/**
	 * The platform asks once a second; a connection that is silent for longer is dropped.
	 */
	private static final int IDLE_SECONDS = 30;

	private SimpleHttpServer() {
	}

	/**
	 * Listen for requests.
	 * @param loop the event loop
	 * @param address where to listen
	 * @param pages answers requests, on the event loop
	 */
	public static void listen(EventLoop loop, Address address, Function<Request, CompletableFuture<Response>> pages) {
		new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES),
								new IdleStateHandler(IDLE_SECONDS, 0, 0), new Handler(pages));
				}
			})
			.bind(address.host(), address.port())
			.addListener(new ExitUnlessBound(address));
	}

	/**
	 * A request for a page.
	 *
	 * @param method the method
	 * @param uri path and query
	 * @param body the body
	 */
	public record Request(String method, String uri, byte[] body) {
	}

	/**
	 * An answer.
	 *
	 * @param status the HTTP status
	 * @param contentType the type of the body
	 * @param body the body
	 */
	public record Response(int status, String contentType, byte[] body) {

		/**
		 * Create a page of text.
		 * @param status the HTTP status
		 * @param text the text
		 * @return the page
		 */
		public static Response text(int status, String text) {
			return new Response(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
		}

	}

	private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Function<Request, CompletableFuture<Response>> pages;

		private Handler(Function<Request, CompletableFuture<Response>> pages) {
			this.pages = pages;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			if (!request.decoderResult().isSuccess()) {
				write(context, Response.text(HttpResponseStatus.BAD_REQUEST.code(), "unreadable request\n"), false);
				return;
			}
			this.pages
				.apply(new Request(request.method().name(), request.uri(), ByteBufUtil.getBytes(request.content())))
				.thenAccept((page) -> write(context, page, keepAlive));
		}

		private static void write(ChannelHandlerContext context, Response page, boolean keepAlive) {
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(page.body()));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
			HttpUtil.setContentLength(response, response.content().readableBytes());
			HttpUtil.setKeepAlive(response, keepAlive);
			context.writeAndFlush(response)
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
