package io.flamingogap.gateway.backends;

import io.netty.buffer.ByteBuf;

/**
 * Receives the response to one request to a backend server. The last call is exactly one
 * of {@link #onComplete}, {@link #onFailure} and {@link #onNotSent}, unless the request
 * is cancelled.
 */
public interface ResponseListener {

	/**
	 * Decide whether the request may still be written, now that its connection is open.
	 * @return {@code false} if it may not; then no byte is sent, and no other method is
	 * called
	 */
	boolean maySend();

	/**
	 * Receive the head of the response.
	 * @param head the decoded head
	 */
	void onHead(BackendResponseHead head);

	/**
	 * Receive the next part of the body.
	 * @param chunk valid only during this call; the connection releases it afterwards
	 */
	void onBody(ByteBuf chunk);

	/**
	 * Learn that nothing more is received for now. Called after the last part of what was
	 * received at once.
	 */
	default void onReadComplete() {
	}

	/**
	 * Receive the end of a complete response.
	 */
	void onComplete();

	/**
	 * Receive a failure after bytes of the request may have been sent: the connection
	 * broke, or the bytes received are not a response to the request.
	 * @param reason a description for logs and error messages
	 */
	void onFailure(String reason);

	/**
	 * Receive a failure to open a connection. No byte of the request was sent.
	 * @param reason a description for logs and error messages
	 */
	void onNotSent(String reason);

}
