package io.flamingogap.gateway.backends;

import io.netty.buffer.ByteBuf;

/**
 * Takes the answer to one dispatch. One of {@link #onComplete}, {@link #onFailure} and
 * {@link #onNotSent} comes last.
 */
public interface ResponseListener {

	/**
	 * The head of the answer came.
	 * @param head the head
	 */
	void onHead(BackendResponseHead head);

	/**
	 * A piece of the body came.
	 * @param chunk the piece; not kept by the connection
	 */
	void onBody(ByteBuf chunk);

	/**
	 * The answer is complete.
	 */
	void onComplete();

	/**
	 * The connection broke, or what came is no answer to the request.
	 * @param reason what happened
	 */
	void onFailure(String reason);

	/**
	 * No connection could be opened; no byte was sent.
	 * @param reason what happened
	 */
	void onNotSent(String reason);

}
