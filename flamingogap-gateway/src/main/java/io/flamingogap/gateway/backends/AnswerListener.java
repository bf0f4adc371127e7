package io.flamingogap.gateway.backends;

import io.netty.buffer.ByteBuf;

/**
 * Takes the answer to one dispatch. One of {@link #onEnd}, {@link #onBroken} and
 * {@link #onNotSent} comes last.
 */
public interface AnswerListener {

	/**
	 * The head of the answer came.
	 * @param answer the head
	 */
	void onHead(BackendResponseHead answer);

	/**
	 * A piece of the body came.
	 * @param piece the piece; not kept by the connection
	 */
	void onPiece(ByteBuf piece);

	/**
	 * The answer is complete.
	 */
	void onEnd();

	/**
	 * The connection broke, or what came is no answer to the request.
	 * @param reason what happened
	 */
	void onBroken(String reason);

	/**
	 * No connection could be opened; no byte was sent.
	 * @param reason what happened
	 */
	void onNotSent(String reason);

}
