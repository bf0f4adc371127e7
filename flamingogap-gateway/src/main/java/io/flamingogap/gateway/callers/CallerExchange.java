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
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.error.Failure;

/**
 * Sends the response to one request of a caller, at once or in chunks. {@link #fail} and
 * {@link #respond} send nothing if a response has begun. The user of this class must call
 * {@link #beginResponse} at most once, before the chunks, and not after the other two.
 */
public final class CallerExchange {

	private static final int MAX_MERGED_BYTES = 8_192;

	private final ChannelHandlerContext context;

	private final CallerConnection connection;

	private final CallerProtocol protocol;

	private boolean keepAlive;

	private boolean responseBegun;

	private boolean responseEnded;

	/** The last chunk, to which short ones are appended until it is written. */
	private @Nullable ByteBuf unwritten;

	CallerExchange(ChannelHandlerContext context, CallerConnection connection, CallerProtocol protocol,
			boolean keepAlive) {
		this.context = context;
		this.connection = connection;
		this.protocol = protocol;
		this.keepAlive = keepAlive;
	}

	/**
	 * Respond with a failure that this node determined. Does nothing if a response has
	 * begun.
	 * @param failure the failure, whose title becomes the body; its detail, which may
	 * name addresses and other nodes, is for the log
	 * @param retryAfterMillis the delay in milliseconds before the caller should retry;
	 * negative to send none
	 */
	public void fail(Failure failure, long retryAfterMillis) {
		ByteBuf body = Unpooled.copiedBuffer(failure.type().title() + "\n", StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(failure.type().status()), body);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		if (retryAfterMillis >= 0) {
			this.protocol.writeRetryAfter(response.headers(), retryAfterMillis);
		}
		send(response);
	}

	/**
	 * Respond with the complete response of a backend server. Only releases the body if a
	 * response has begun.
	 * @param status the status
	 * @param headers the headers to forward
	 * @param body the body, which this exchange releases
	 */
	public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers().set(headers);
		send(response);
	}

	private void send(FullHttpResponse response) {
		if (this.responseBegun || this.responseEnded) {
			response.release();
			return;
		}
		this.responseBegun = true;
		HttpUtil.setTransferEncodingChunked(response, false);
		HttpUtil.setContentLength(response, response.content().readableBytes());
		setKeepAlive(response);
		finish(response);
	}

	/**
	 * Begin a response whose body follows in chunks. The head is flushed with the first
	 * chunk or at the end.
	 * @param status the status
	 * @param headers the headers to forward, except for the content length
	 */
	public void beginResponse(HttpResponseStatus status, HttpHeaders headers) {
		this.responseBegun = true;
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		HttpUtil.setTransferEncodingChunked(response, true);
		setKeepAlive(response);
		this.context.write(response, this.context.voidPromise());
	}

	/**
	 * Write a chunk of the body, which is sent by {@link #flush()} or with the end of the
	 * response.
	 * @param chunk the chunk, which this exchange releases
	 */
	public void writeChunk(ByteBuf chunk) {
		if (!chunk.isReadable()) {
			chunk.release();
			return;
		}
		ByteBuf previous = this.unwritten;
		if (previous != null && previous.readableBytes() + chunk.readableBytes() <= MAX_MERGED_BYTES) {
			previous.writeBytes(chunk);
			chunk.release();
			return;
		}
		writeOut();
		this.unwritten = chunk;
	}

	private void writeOut() {
		ByteBuf chunk = this.unwritten;
		if (chunk != null) {
			this.unwritten = null;
			this.context.write(new DefaultHttpContent(chunk), this.context.voidPromise());
			this.connection.recordUnreadBytes();
		}
	}

	/**
	 * Send the chunks that were written.
	 */
	public void flush() {
		writeOut();
		this.context.flush();
		this.connection.recordUnreadBytes();
	}

	/**
	 * End a chunked response that is complete. Does nothing if it has ended.
	 */
	public void endResponse() {
		if (!this.responseEnded) {
			writeOut();
			finish(LastHttpContent.EMPTY_LAST_CONTENT);
		}
	}

	private void finish(Object lastMessage) {
		this.responseEnded = true;
		boolean reuseConnection = this.keepAlive;
		this.context.writeAndFlush(lastMessage).addListener((result) -> {
			this.connection.recordUnreadBytes();
			if (!result.isSuccess()) {
				this.context.close();
			}
			else if (!reuseConnection) {
				this.connection.closeAfterAnswer();
			}
		});
		this.connection.recordUnreadBytes();
		this.connection.onExchangeEnded(reuseConnection);
	}

	/**
	 * Close the connection without ending the response, so that the caller can detect
	 * that it is incomplete.
	 */
	public void abort() {
		flush();
		this.responseEnded = true;
		this.context.close().addListener(ChannelFutureListener.CLOSE);
	}

	private void setKeepAlive(HttpResponse response) {
		this.keepAlive = this.keepAlive && this.connection.allowsKeepAlive();
		HttpUtil.setKeepAlive(response, this.keepAlive);
	}

	/**
	 * Return whether a response was begun.
	 * @return {@code true} if it is too late to respond with a failure
	 */
	public boolean hasResponseBegun() {
		return this.responseBegun;
	}

	/**
	 * Return whether the caller reads more slowly than the response arrives.
	 * @return {@code true} if no more should be read from the backend server until
	 * {@link CallerConnectionListener#onCallerWritable()} is called
	 */
	public boolean isCongested() {
		return !this.context.channel().isWritable();
	}

}
