package io.flamingogap.gateway.callers;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import io.flamingogap.core.error.Failure;

/**
 * The caller's side of one request: at most one answer, whole or in pieces.
 */
public final class CallerExchange {

	private final ChannelHandlerContext context;

	private final CallerConnection connection;

	private final CallerProtocol protocol;

	private boolean keepAlive;

	private boolean begun;

	private boolean ended;

	CallerExchange(ChannelHandlerContext context, CallerConnection connection, CallerProtocol protocol,
			boolean keepAlive) {
		this.context = context;
		this.connection = connection;
		this.protocol = protocol;
		this.keepAlive = keepAlive;
	}

	/**
	 * Answer with a failure of this node.
	 * @param failure the failure
	 * @param retryAfterMillis when a caller that was refused should come back; negative
	 * to leave that open
	 */
	public void fail(Failure failure, long retryAfterMillis) {
		ByteBuf body = Unpooled.copiedBuffer(failure.type().title() + ": " + failure.detail() + "\n",
				StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(failure.type().status()), body);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		if (retryAfterMillis >= 0) {
			this.protocol.writeRetryAfter(response.headers(), retryAfterMillis);
		}
		send(response);
	}

	/**
	 * Answer with a whole answer of a backend server.
	 * @param status the status
	 * @param headers the headers to pass on
	 * @param body the body
	 */
	public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers().set(headers);
		send(response);
	}

	private void send(FullHttpResponse response) {
		if (this.begun || this.ended) {
			response.release();
			return;
		}
		this.begun = true;
		HttpUtil.setTransferEncodingChunked(response, false);
		HttpUtil.setContentLength(response, response.content().readableBytes());
		setKeepAlive(response);
		finish(response);
	}

	/**
	 * Begin an answer whose body follows in pieces.
	 * @param status the status
	 * @param headers the headers to pass on
	 */
	public void beginResponse(HttpResponseStatus status, HttpHeaders headers) {
		this.begun = true;
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		HttpUtil.setTransferEncodingChunked(response, true);
		setKeepAlive(response);
		this.context.write(response, this.context.voidPromise());
	}

	/**
	 * Pass on a piece of the body.
	 * @param piece the piece
	 */
	public void writeChunk(ByteBuf piece) {
		this.context.writeAndFlush(new DefaultHttpContent(piece), this.context.voidPromise());
	}

	/**
	 * End an answer that is complete.
	 */
	public void endResponse() {
		if (!this.ended) {
			finish(LastHttpContent.EMPTY_LAST_CONTENT);
		}
	}

	private void finish(Object last) {
		this.ended = true;
		boolean reuse = this.keepAlive;
		this.context.writeAndFlush(last).addListener((written) -> {
			if (!reuse || !written.isSuccess()) {
				this.context.close();
			}
		});
		this.connection.exchangeEnded(reuse);
	}

	/**
	 * Break off an answer that can't be completed, so that it doesn't look complete.
	 */
	public void abort() {
		this.ended = true;
		this.context.close().addListener(ChannelFutureListener.CLOSE);
	}

	private void setKeepAlive(HttpResponse response) {
		this.keepAlive = this.keepAlive && this.connection.mayBeKept();
		HttpUtil.setKeepAlive(response, this.keepAlive);
	}

	/**
	 * Return whether pieces of the answer were sent.
	 * @return {@code true} if a failure can't be told to the caller any more
	 */
	public boolean hasResponseBegun() {
		return this.begun;
	}

	/**
	 * Return whether the caller reads slower than pieces arrive.
	 * @return {@code true} if no more pieces should be read for now
	 */
	public boolean isCongested() {
		return !this.context.channel().isWritable();
	}

}
