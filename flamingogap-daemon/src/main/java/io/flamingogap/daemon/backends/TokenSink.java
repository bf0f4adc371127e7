package io.flamingogap.daemon.backends;

import java.io.IOException;

/**
 * Takes the tokens of an answer in order.
 */
public interface TokenSink {

	/**
	 * Take the next token.
	 * @param event the event that carries it
	 * @throws IOException if the caller has left
	 */
	void accept(TokenEvent event) throws IOException;

	/**
	 * Return whether the stream should stop here, to be resumed at another entry node.
	 * @return {@code true} to stop
	 */
	boolean isMoving();

}
