package io.flamingogap.gateway.callers;

import java.util.ArrayDeque;
import java.util.Deque;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.limits.HeldBytes;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.memory.AnswerMemory;
import io.flamingogap.gateway.memory.BytesHolder;

/**
 * One connection of a caller. Handles one request at a time; requests that arrive before
 * the response is sent (HTTP pipelining) wait in order.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements BytesHolder {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The connection is closed if more requests wait. Usual callers pipeline fewer. */
	private static final int MAX_PIPELINED_REQUESTS = 8;

	private final CallerProtocol protocol;

	private final CallerRequestHandler requestHandler;

	private final AnswerMemory answerMemory;

	private final Deque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();

	/** Set while a request is in progress that its handler didn't answer at once. */
	private @Nullable CallerConnectionListener connectionListener;

	/**
	 * Also set until a waiting request starts, so that none overtakes it, and after the
	 * connection is closed, so that no more requests start.
	 */
	private boolean requestInProgress;

	/** Set when a later request was not read in time while a response is being sent. */
	private boolean closeAfterResponse;

	private @Nullable ChannelHandlerContext context;

	CallerConnection(CallerProtocol protocol, CallerRequestHandler requestHandler, AnswerMemory answerMemory) {
		this.protocol = protocol;
		this.requestHandler = requestHandler;
		this.answerMemory = answerMemory;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelRead(ChannelHandlerContext channel, Object message) {
		FullHttpRequest request = (FullHttpRequest) message;
		if (!this.requestInProgress) {
			start(channel, request);
		}
		else if (this.pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
			this.pipelinedRequests.addLast(request);
		}
		else {
			request.release();
			logger.atWarning()
				.log("%s", LogLine.of("connection closed")
					.with("reason", "more than " + MAX_PIPELINED_REQUESTS
							+ " pipelined requests wait for a response; caller " + channel.channel().remoteAddress()));
			channel.close();
		}
	}

	private void start(ChannelHandlerContext channel, FullHttpRequest request) {
		this.requestInProgress = true;
		CallerExchange exchange = new CallerExchange(channel, this, this.protocol,
				request.decoderResult().isSuccess() && HttpUtil.isKeepAlive(request));
		Either<String, CallerRequest> parsed = request.decoderResult().isSuccess() ? this.protocol.parseRequest(request)
				: Either.left(String.valueOf(request.decoderResult().cause().getMessage()));
		if (parsed.isLeft()) {
			ProblemType type = isHeadTooLarge(request) ? ProblemType.HEAD_TOO_LARGE : ProblemType.MALFORMED;
			request.release();
			logger.atInfo()
				.log("%s",
						LogLine.of("request refused")
							.with("status", type.status())
							.with("reason", parsed.getLeft() + "; caller " + channel.channel().remoteAddress()));
			exchange.fail(Failure.notRun(type, Step.PARSE, "caller", parsed.getLeft()), -1);
			return;
		}
		CallerConnectionListener listener = this.requestHandler.handle(parsed.get(), exchange);
		if (this.requestInProgress) {
			this.connectionListener = listener;
		}
	}

	private static boolean isHeadTooLarge(FullHttpRequest request) {
		return request.decoderResult().cause() instanceof TooLongFrameException;
	}

	/**
	 * Handle the end of a response: start the next request that waits, if the connection
	 * stays open, and drop the waiting requests otherwise.
	 * @param reuse whether the connection stays open
	 */
	void onExchangeEnded(boolean reuse) {
		this.connectionListener = null;
		ChannelHandlerContext channel = this.context;
		if (!reuse || channel == null) {
			this.requestInProgress = false;
			releasePipelinedRequests();
		}
		else if (!this.pipelinedRequests.isEmpty()) {
			channel.executor().execute(() -> startNext(channel));
		}
		else {
			this.requestInProgress = false;
			if (this.closeAfterResponse) {
				channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
			}
		}
	}

	private void startNext(ChannelHandlerContext channel) {
		FullHttpRequest next = this.pipelinedRequests.pollFirst();
		if (next != null) {
			start(channel, next);
		}
	}

	private void releasePipelinedRequests() {
		this.pipelinedRequests.forEach(FullHttpRequest::release);
		this.pipelinedRequests.clear();
	}

	/**
	 * Record how many bytes wait for the caller. Call it after each write.
	 */
	void recordUnreadBytes() {
		ChannelHandlerContext channel = this.context;
		ChannelOutboundBuffer unread = (channel != null && !channel.channel().isWritable())
				? channel.channel().unsafe().outboundBuffer() : null;
		this.answerMemory.set(this, HeldBytes.Kind.UNREAD, (unread != null) ? unread.totalPendingWriteBytes() : 0);
	}

	@Override
	public void releaseBytes() {
		ChannelHandlerContext channel = this.context;
		if (channel != null) {
			logger.atWarning()
				.log("%s",
						LogLine.of("connection closed")
							.with("reason", "the memory for answers is used up and the caller reads slowly; caller "
									+ channel.channel().remoteAddress()));
			channel.close();
		}
	}

	boolean allowsKeepAlive() {
		return this.requestHandler.allowsKeepAlive();
	}

	@Override
	public void channelInactive(ChannelHandlerContext channel) {
		this.answerMemory.set(this, HeldBytes.Kind.UNREAD, 0);
		releasePipelinedRequests();
		CallerConnectionListener listener = this.connectionListener;
		this.connectionListener = null;
		this.requestInProgress = true;
		if (listener != null) {
			listener.onCallerDisconnected();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext channel) {
		recordUnreadBytes();
		CallerConnectionListener listener = this.connectionListener;
		if (listener != null && channel.channel().isWritable()) {
			listener.onCallerWritable();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext channel, Object event) {
		if (event instanceof IdleStateEvent && !this.requestInProgress) {
			channel.close();
		}
		else if (event == RequestReadTimeout.EXPIRED) {
			onReadTimeout(channel);
		}
	}

	/**
	 * Answer a request that was not read in time, unless an earlier response is being
	 * sent, in whose middle the answer would stand.
	 * @param channel the context of this handler
	 */
	private void onReadTimeout(ChannelHandlerContext channel) {
		if (this.requestInProgress) {
			this.closeAfterResponse = true;
			return;
		}
		this.requestInProgress = true;
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.REQUEST_TIMEOUT);
		HttpUtil.setContentLength(response, 0);
		HttpUtil.setKeepAlive(response, false);
		channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext channel, Throwable cause) {
		logger.atFine()
			.log("%s", LogLine.of("caller connection broke")
				.with("reason", cause + "; caller " + channel.channel().remoteAddress()));
		channel.close();
	}

}
