package io.flamingogap.gateway.callers;

import java.util.ArrayDeque;
import java.util.Deque;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.gateway.log.LogLine;

/**
 * One caller's connection. Requests that arrive while one is open wait for its answer.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Requests sent ahead on one connection; more than any usual caller sends. */
	private static final int MAX_WAITING = 8;

	private final CallerProtocol protocol;

	private final CallerRequestHandler requests;

	private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

	private @Nullable OpenRequest open;

	private boolean busy;

	private @Nullable ChannelHandlerContext context;

	CallerConnection(CallerProtocol protocol, CallerRequestHandler requests) {
		this.protocol = protocol;
		this.requests = requests;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelRead(ChannelHandlerContext channel, Object message) {
		FullHttpRequest request = (FullHttpRequest) message;
		if (!this.busy) {
			start(channel, request);
		}
		else if (this.waiting.size() < MAX_WAITING) {
			this.waiting.addLast(request);
		}
		else {
			request.release();
			logger.atWarning().log("%s", LogLine.of("connection closed").with("reason", "too many requests ahead"));
			channel.close();
		}
	}

	private void start(ChannelHandlerContext channel, FullHttpRequest request) {
		this.busy = true;
		CallerExchange exchange = new CallerExchange(channel, this, this.protocol,
				request.decoderResult().isSuccess() && HttpUtil.isKeepAlive(request));
		Either<String, CallerRequest> read = request.decoderResult().isSuccess() ? this.protocol.read(request)
				: Either.left(String.valueOf(request.decoderResult().cause().getMessage()));
		if (read.isLeft()) {
			ProblemType type = isTooLong(request) ? ProblemType.HEAD_TOO_LARGE : ProblemType.MALFORMED;
			request.release();
			logger.atInfo()
				.log("%s", LogLine.of("request refused").with("status", type.status()).with("reason", read.getLeft()));
			exchange.fail(Failure.notRun(type, Step.PARSE, "caller", read.getLeft()), -1);
			return;
		}
		OpenRequest accepted = this.requests.accept(read.get(), exchange);
		if (this.busy) {
			this.open = accepted;
		}
	}

	private static boolean isTooLong(FullHttpRequest request) {
		return request.decoderResult().cause() instanceof TooLongFrameException;
	}

	/**
	 * The answer was written; go on with the next request.
	 * @param reuse whether the connection stays open
	 */
	void exchangeEnded(boolean reuse) {
		this.busy = false;
		this.open = null;
		if (!reuse) {
			releaseWaiting();
			return;
		}
		FullHttpRequest next = this.waiting.pollFirst();
		ChannelHandlerContext channel = this.context;
		if (next != null && channel != null) {
			channel.executor().execute(() -> {
				if (!this.busy && channel.channel().isActive()) {
					start(channel, next);
				}
				else {
					next.release();
				}
			});
		}
	}

	private void releaseWaiting() {
		this.waiting.forEach(FullHttpRequest::release);
		this.waiting.clear();
	}

	boolean mayBeKept() {
		return this.requests.allowsKeepAlive();
	}

	@Override
	public void channelInactive(ChannelHandlerContext channel) {
		releaseWaiting();
		OpenRequest left = this.open;
		this.open = null;
		this.busy = true;
		if (left != null) {
			left.onCallerDisconnected();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext channel) {
		OpenRequest reading = this.open;
		if (reading != null && channel.channel().isWritable()) {
			reading.onCallerWritable();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext channel, Object event) {
		if (event instanceof IdleStateEvent && !this.busy) {
			channel.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
		logger.atFine().log("%s", LogLine.of("caller connection broke").with("reason", String.valueOf(cause)));
		channel.close();
	}

}
