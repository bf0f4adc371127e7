package io.flamingogap.daemon.backends;

import java.io.IOException;

/**
 * Receives the tokens of an answer in order.
 */
public interface TokenSink {

	/**
	 * Process the next token.
	 * @param event the event that contains the token
	 * @throws IOException if the caller closed the connection
	 */
	void accept(TokenEvent event) throws IOException;

	/**
	 * Return whether the stream should stop at this node, so that the caller resumes it
	 * at another entry node.
	 * @return {@code true} to stop the stream
	 */
	boolean shouldMoveStream();

}
