package io.flamingogap.gateway.backends;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.http.ReadTurns;

/**
 * A connection to a backend server that carries at most one request at a time. It closes
 * itself if it receives bytes while no request is open.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {

	/** Limit for the bodies of responses to other attempts that precede a response. */
	private static final long MAX_SKIPPED_BYTES = 1_048_576;

	/** Limit for the interim responses and the responses to other attempts. */
	private static final int MAX_SKIPPED_RESPONSES = 100;

	private final BackendProtocol protocol;

	private final BackendConnectionPool pool;

	private final String serverId;

	private final Channel channel;

	private final ReadTurns.PacedReader reader;

	private final BackendResponseDecoder decoder;

	private @Nullable ResponseListener responseListener;

	private String attemptId = "";

	private ReadState readState = ReadState.HEAD;

	private boolean requestWritten;

	/** Why the request could not be written. */
	private @Nullable Throwable writeFailure;

	private boolean kept;

	private boolean receivedOtherAttemptsResponse;

	private long skippedBytes;

	private int skippedResponses;

	private long keepAliveMillis;

	private long idleSinceMillis;

	BackendConnection(BackendProtocol protocol, BackendConnectionPool pool, String serverId, Channel channel,
			ReadTurns.PacedReader reader, BackendResponseDecoder decoder) {
		super(false);
		this.protocol = protocol;
		this.pool = pool;
		this.serverId = serverId;
		this.channel = channel;
		this.reader = reader;
		this.decoder = decoder;
	}

	/**
	 * Send a request, or close the connection if the listener doesn't allow it any more.
	 * The previous response must be complete.
	 * @param request the request to send
	 * @param listener receives the response
	 */
	void send(BackendRequest request, ResponseListener listener) {
		if (!listener.maySend()) {
			this.channel.close();
			return;
		}
		this.responseListener = listener;
		this.attemptId = request.request().attemptId();
		this.readState = ReadState.HEAD;
		this.requestWritten = false;
		this.writeFailure = null;
		this.skippedBytes = 0;
		this.skippedResponses = 0;
		this.decoder.expectResponse(request.request().method().equals(HttpMethod.HEAD));
		this.channel.writeAndFlush(this.protocol.encodeRequest(request)).addListener((written) -> {
			this.requestWritten = written.isSuccess();
			this.writeFailure = written.cause();
		});
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		try {
			if (this.responseListener == null || message.decoderResult().isFailure()) {
				fail((this.responseListener == null) ? "received bytes without an open request"
						: "received a malformed HTTP response ("
								+ message.decoderResult().cause().getClass().getSimpleName() + ")");
				return;
			}
			if (message instanceof HttpResponse head) {
				readHead(head);
			}
			if (message instanceof HttpContent content) {
				readContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		ResponseListener currentListener = this.responseListener;
		if (currentListener != null) {
			currentListener.onReadComplete();
		}
	}

	private void readHead(HttpResponse head) {
		if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			skipResponse();
			return;
		}
		BackendResponseHead decoded = this.protocol.decodeResponseHead(this.attemptId, head);
		if (this.kept) {
			decoded = decoded.onKeptConnection();
		}
		if (decoded.verdict() == BackendResponseHead.Verdict.ATTEMPT_MISMATCH) {
			this.receivedOtherAttemptsResponse = true;
			skipResponse();
			return;
		}
		this.readState = ReadState.BODY;
		this.keepAliveMillis = decoded.keepAliveMillis();
		ResponseListener currentListener = this.responseListener;
		if (currentListener != null) {
			currentListener.onHead(decoded);
		}
	}

	private void skipResponse() {
		this.readState = ReadState.SKIPPING;
		this.skippedResponses++;
		if (this.skippedResponses > MAX_SKIPPED_RESPONSES) {
			fail("received more than " + MAX_SKIPPED_RESPONSES + " responses that answer no open request");
		}
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.readState == ReadState.SKIPPING) {
			this.readState = last ? ReadState.HEAD : ReadState.SKIPPING;
			this.skippedBytes += content.content().readableBytes();
			if (this.skippedBytes > MAX_SKIPPED_BYTES) {
				fail("received more than " + MAX_SKIPPED_BYTES + " bytes that answer no open request");
			}
			return;
		}
		ResponseListener currentListener = this.responseListener;
		if (currentListener != null && content.content().isReadable()) {
			currentListener.onBody(content.content());
		}
		if (last && this.responseListener != null) {
			complete();
		}
	}

	private void complete() {
		ResponseListener currentListener = this.responseListener;
		this.responseListener = null;
		boolean hasSurplusBytes = this.decoder.endResponse();
		if (!hasSurplusBytes && this.requestWritten && !this.receivedOtherAttemptsResponse && this.keepAliveMillis > 0
				&& this.channel.isActive()) {
			this.pool.addIdle(this);
		}
		else {
			this.channel.close();
		}
		if (currentListener != null) {
			currentListener.onComplete();
		}
	}

	private void fail(String reason) {
		ResponseListener currentListener = this.responseListener;
		this.responseListener = null;
		this.channel.close();
		if (currentListener != null) {
			currentListener.onFailure(reason);
		}
	}

	/**
	 * Cancel the request by closing the connection, so that the server can stop
	 * processing it. The listener is not called any more.
	 */
	void cancel() {
		this.responseListener = null;
		this.channel.close();
	}

	void setAutoRead(boolean enabled) {
		this.reader.setEnabled(enabled);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.pool.removeIdle(this);
		fail("connection closed by the server, read state " + this.readState);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		fail("connection failed: " + cause
				+ ((this.writeFailure != null) ? "; the request could not be written: " + this.writeFailure : ""));
	}

	String serverId() {
		return this.serverId;
	}

	boolean isReusable(long nowMillis, long maxIdleMillis) {
		return this.channel.isActive()
				&& nowMillis - this.idleSinceMillis < Math.min(this.keepAliveMillis, maxIdleMillis);
	}

	void markIdle(long nowMillis) {
		this.kept = true;
		this.idleSinceMillis = nowMillis;
		setAutoRead(true);
	}

	void close() {
		this.channel.close();
	}

	/**
	 * Which part of a response is expected next. Appears in failure messages.
	 */
	private enum ReadState {

		/** The head of the response to the open request. */
		HEAD,

		/** The body of the response. */
		BODY,

		/** The rest of an informational response or of a response to another attempt. */
		SKIPPING

	}

}
