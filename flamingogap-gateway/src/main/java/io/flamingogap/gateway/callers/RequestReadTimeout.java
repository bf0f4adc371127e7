package io.flamingogap.gateway.callers;

import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.log.LogLine;

/**
 * Tells the {@link CallerConnection} if a request isn't complete in time. The time starts
 * at the first read of a connection, and at the first read after a complete request. This
 * handler comes before the decoder; its {@link TimeoutCanceller} comes after the
 * aggregator, where requests are complete.
 */
final class RequestReadTimeout extends ChannelInboundHandlerAdapter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The user event that this handler fires. */
	static final Object EXPIRED = new Object();

	private final long timeoutMillis;

	private @Nullable ScheduledFuture<?> timeout;

	RequestReadTimeout(long timeoutMillis) {
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
		context.fireUserEventTriggered(EXPIRED);
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
	 * Cancels the timeout when a request is complete.
	 */
	final class TimeoutCanceller extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			cancel();
			context.fireChannelRead(message);
		}

	}

}
