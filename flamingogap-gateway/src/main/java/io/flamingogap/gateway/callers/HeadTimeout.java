package io.flamingogap.gateway.callers;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.log.LogLine;

/**
 * Bounds the time in which a request has to arrive from its first byte on. Stands before
 * the decoder; {@link Arrived} stands behind the aggregator and tells of whole requests.
 */
final class HeadTimeout extends ChannelInboundHandlerAdapter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final byte[] ANSWER = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
		.getBytes(StandardCharsets.US_ASCII);

	private final long timeoutMillis;

	private @Nullable ScheduledFuture<?> timeout;

	HeadTimeout(long timeoutMillis) {
		this.timeoutMillis = timeoutMillis;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.timeout == null) {
			this.timeout = context.executor()
				.schedule(() -> expire(context), this.timeoutMillis, TimeUnit.MILLISECONDS);
		}
		context.fireChannelRead(message);
	}

	private void expire(ChannelHandlerContext context) {
		logger.atInfo()
			.log("%s",
					LogLine.of("request refused")
						.with("status", 408)
						.with("reason", "incomplete")
						.with("limitMillis", this.timeoutMillis));
		context.writeAndFlush(Unpooled.wrappedBuffer(ANSWER)).addListener(ChannelFutureListener.CLOSE);
	}

	private void cancel() {
		if (this.timeout != null) {
			this.timeout.cancel(false);
			this.timeout = null;
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		cancel();
		context.fireChannelInactive();
	}

	/**
	 * Ends the bound when a request is whole.
	 */
	final class Arrived extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			cancel();
			context.fireChannelRead(message);
		}

	}

}
