package io.flamingogap.gateway.backends;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a backend server, with at most one request at a time. Bytes that
 * belong to no request close it.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {

	private final BackendProtocol protocol;

	private final BackendConnectionPool pool;

	private final String serverId;

	private final Channel channel;

	private @Nullable AnswerListener listener;

	private String attemptId = "";

	private Reading reading = Reading.HEAD;

	private boolean requestWritten;

	private boolean tainted;

	private long idleMillis;

	private long idleSinceMillis;

	BackendConnection(BackendProtocol protocol, BackendConnectionPool pool, String serverId, Channel channel) {
		super(false);
		this.protocol = protocol;
		this.pool = pool;
		this.serverId = serverId;
		this.channel = channel;
	}

	/**
	 * Send a request.
	 * @param dispatch the dispatch
	 * @param answers takes the answer
	 */
	void send(BackendRequest dispatch, AnswerListener answers) {
		this.listener = answers;
		this.attemptId = dispatch.request().attemptId();
		this.reading = Reading.HEAD;
		this.requestWritten = false;
		this.channel.writeAndFlush(this.protocol.encodeRequest(dispatch))
			.addListener((written) -> this.requestWritten = written.isSuccess());
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		try {
			if (this.listener == null || message.decoderResult().isFailure()) {
				breakOff((this.listener == null) ? "bytes without a request" : "unreadable answer");
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

	private void readHead(HttpResponse head) {
		if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			this.reading = Reading.SKIPPED;
			return;
		}
		BackendResponseHead answer = this.protocol.decodeResponseHead(this.attemptId, head);
		if (answer.verdict() == BackendResponseHead.Verdict.ATTEMPT_MISMATCH) {
			this.reading = Reading.SKIPPED;
			this.tainted = true;
			return;
		}
		this.reading = Reading.BODY;
		this.idleMillis = answer.idleMillis();
		AnswerListener answers = this.listener;
		if (answers != null) {
			answers.onHead(answer);
		}
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.reading == Reading.SKIPPED) {
			this.reading = last ? Reading.HEAD : Reading.SKIPPED;
			return;
		}
		AnswerListener answers = this.listener;
		if (answers != null && content.content().isReadable()) {
			answers.onPiece(content.content());
		}
		if (last && this.listener != null) {
			complete();
		}
	}

	private void complete() {
		AnswerListener answers = this.listener;
		this.listener = null;
		if (this.requestWritten && !this.tainted && this.idleMillis > 0 && this.channel.isActive()) {
			this.pool.release(this);
		}
		else {
			this.channel.close();
		}
		if (answers != null) {
			answers.onEnd();
		}
	}

	private void breakOff(String reason) {
		AnswerListener answers = this.listener;
		this.listener = null;
		this.channel.close();
		if (answers != null) {
			answers.onBroken(reason);
		}
	}

	/**
	 * Give the request up: the server notices the end of the connection.
	 */
	void cancel() {
		this.listener = null;
		this.channel.close();
	}

	void setReading(boolean read) {
		this.channel.config().setAutoRead(read);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.pool.forget(this);
		breakOff("connection closed by the server");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		breakOff("connection broke: " + cause.getMessage());
	}

	String serverId() {
		return this.serverId;
	}

	boolean isUsable(long nowMillis, long maxIdleMillis) {
		return this.channel.isActive() && nowMillis - this.idleSinceMillis < Math.min(this.idleMillis, maxIdleMillis);
	}

	void idleSince(long nowMillis) {
		this.idleSinceMillis = nowMillis;
		setReading(true);
	}

	void close() {
		this.channel.close();
	}

	private enum Reading {

		HEAD, BODY, SKIPPED

	}

}
