package io.flamingogap.gateway.callers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.limits.HeldBytes;
import io.flamingogap.gateway.http.ReadTurns;
import io.flamingogap.gateway.http.RequestCollector;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.memory.AcceptedConnection;
import io.flamingogap.gateway.memory.AcceptedConnections;
import io.flamingogap.gateway.memory.AnswerMemory;
import io.flamingogap.gateway.memory.BytesHolder;

/**
 * One connection of a caller. Handles one request at a time; requests that arrive before
 * the response is sent (HTTP pipelining) wait in order.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements BytesHolder, AcceptedConnection {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The connection is closed if more requests wait. Usual callers pipeline fewer. */
	private static final int MAX_PIPELINED_REQUESTS = 8;

	/** The connection isn't read while waiting requests hold more than this. */
	private static final int MAX_PIPELINED_BYTES = 16_384;

	/**
	 * How long the rest of a refused request is read and dropped. If the connection were
	 * closed at once, its end would overtake the refusal.
	 */
	private static final long LINGER_MILLIS = 2_000;

	private final CallerProtocol protocol;

	private final CallerRequestHandler requestHandler;

	private final AnswerMemory answerMemory;

	private final AcceptedConnections connections;

	private final Deque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();

	private long pipelinedBytes;

	/** What the request in progress holds. */
	private long bytesInProgress;

	/** Set while a request is in progress that its handler didn't answer at once. */
	private @Nullable CallerConnectionListener connectionListener;

	/**
	 * Also set until a waiting request starts, so that none overtakes it, and after the
	 * connection is closed, so that no more requests start.
	 */
	private boolean requestInProgress;

	/** Set when a later request was not read in time while a response is being sent. */
	private boolean closeAfterResponse;

	/** Set when a request was refused before all of it arrived. */
	private boolean refusedArriving;

	private @Nullable ChannelHandlerContext context;

	CallerConnection(CallerProtocol protocol, CallerRequestHandler requestHandler, AnswerMemory answerMemory,
			AcceptedConnections connections) {
		this.protocol = protocol;
		this.requestHandler = requestHandler;
		this.answerMemory = answerMemory;
		this.connections = connections;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelRead(ChannelHandlerContext channel, Object message) {
		FullHttpRequest request = (FullHttpRequest) message;
		if (!isBusy() && channel.channel().isWritable()) {
			start(channel, request);
		}
		else if (this.pipelinedRequests.size() < MAX_PIPELINED_REQUESTS) {
			this.pipelinedRequests.addLast(request);
			this.pipelinedBytes += bytes(request);
			recordCompleteBytes();
		}
		else {
			request.release();
			logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("%s", LogLine.of("connection closed")
					.with("reason", "more than " + MAX_PIPELINED_REQUESTS
							+ " pipelined requests wait for a response; caller " + channel.channel().remoteAddress()));
			channel.close();
		}
	}

	/**
	 * Return whether a request is in progress or waits.
	 * @return {@code true} if a request that arrives now has to wait
	 */
	private boolean isBusy() {
		return this.requestInProgress || !this.pipelinedRequests.isEmpty();
	}

	private static long bytes(FullHttpRequest request) {
		return RequestCollector.headBytes(request) + request.content().readableBytes();
	}

	/**
	 * Record what the requests hold, and stop reading while more than a few of them, or
	 * any before a caller that reads no answers, wait.
	 */
	private void recordCompleteBytes() {
		this.connections.setComplete(this, this.bytesInProgress + this.pipelinedBytes);
		ChannelHandlerContext channel = this.context;
		ReadTurns.PacedReader reader = (channel != null) ? channel.pipeline().get(ReadTurns.PacedReader.class) : null;
		if (reader != null) {
			boolean hasRoom = this.pipelinedRequests.size() < MAX_PIPELINED_REQUESTS / 2
					&& this.pipelinedBytes <= MAX_PIPELINED_BYTES;
			reader.setEnabled(this.pipelinedRequests.isEmpty() || (hasRoom && channel.channel().isWritable()));
		}
	}

	private void start(ChannelHandlerContext channel, FullHttpRequest request) {
		this.requestInProgress = true;
		this.bytesInProgress = bytes(request);
		recordCompleteBytes();
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
		this.bytesInProgress = 0;
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
				channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((result) -> closeAfterAnswer());
			}
		}
		recordCompleteBytes();
	}

	private void startNext(ChannelHandlerContext channel) {
		if (!channel.channel().isWritable()) {
			this.requestInProgress = false;
			return;
		}
		FullHttpRequest next = this.pipelinedRequests.pollFirst();
		if (next != null) {
			this.pipelinedBytes -= bytes(next);
			start(channel, next);
		}
	}

	/**
	 * Close the connection when the last answer on it has been sent.
	 */
	void closeAfterAnswer() {
		ChannelHandlerContext channel = this.context;
		if (channel == null) {
			return;
		}
		if (this.refusedArriving && channel.channel() instanceof SocketChannel socket) {
			socket.shutdownOutput();
			channel.executor().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			channel.close();
		}
	}

	private void releasePipelinedRequests() {
		this.pipelinedRequests.forEach(FullHttpRequest::release);
		this.pipelinedRequests.clear();
		this.pipelinedBytes = 0;
	}

	/**
	 * Record how many bytes wait for the caller. Call it after each write.
	 */
	void recordUnreadBytes() {
		this.answerMemory.set(this, HeldBytes.Kind.UNREAD, unsentBytes());
	}

	private long unsentBytes() {
		ChannelHandlerContext channel = this.context;
		ChannelOutboundBuffer unread = (channel != null) ? channel.channel().unsafe().outboundBuffer() : null;
		return (unread != null) ? unread.totalPendingWriteBytes() : 0;
	}

	@Override
	public boolean isServing() {
		return isBusy();
	}

	@Override
	public boolean hasUnsentBytes() {
		return unsentBytes() > 0;
	}

	@Override
	public void closeIdle() {
		ChannelHandlerContext channel = this.context;
		if (channel != null) {
			logger.atWarning()
				.atMostEvery(1, TimeUnit.SECONDS)
				.log("%s", LogLine.of("connection closed")
					.with("reason", "too many connections; caller " + channel.channel().remoteAddress()));
			channel.close();
		}
	}

	@Override
	public void refuseArriving() {
		ChannelHandlerContext channel = this.context;
		if (channel == null) {
			return;
		}
		this.refusedArriving = true;
		RequestCollector collector = channel.pipeline().get(RequestCollector.class);
		if (collector != null) {
			collector.discard();
		}
		if (isBusy()) {
			this.closeAfterResponse = true;
			return;
		}
		String detail = "the memory for requests is used up; caller " + channel.channel().remoteAddress();
		logger.atInfo()
			.log("%s",
					LogLine.of("request refused")
						.with("status", ProblemType.OVERLOADED.status())
						.with("reason", detail));
		this.requestInProgress = true;
		if (channel.pipeline().get(HttpServerCodec.class) != null) {
			// The decoder keeps what it has read of a head.
			channel.pipeline().replace(HttpServerCodec.class, null, new HttpResponseEncoder());
		}
		new CallerExchange(channel, this, this.protocol, false).fail(
				Failure.notRun(ProblemType.OVERLOADED, Step.ADMIT, "caller", detail), this.connections.returnMillis());
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
		this.bytesInProgress = 0;
		this.connections.closed(this);
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
		if (!this.requestInProgress && !this.pipelinedRequests.isEmpty() && channel.channel().isWritable()) {
			this.requestInProgress = true;
			channel.executor().execute(() -> startNext(channel));
		}
		recordCompleteBytes();
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
		if (this.refusedArriving) {
			return;
		}
		if (isBusy()) {
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
