package io.flamingogap.gateway.memory;

/**
 * A connection that a node has accepted.
 */
public interface AcceptedConnection {

	/**
	 * Return whether a request that was received on this connection is being served.
	 * @return {@code false} if closing the connection breaks off no answer
	 */
	boolean isServing();

	/**
	 * Return whether bytes of an answer wait to be sent.
	 * @return {@code true} if the other side has yet to take some
	 */
	boolean hasUnsentBytes();

	/**
	 * Give up the request that is arriving, because the node holds too many bytes.
	 */
	void refuseArriving();

	/**
	 * Close this connection, because the node has too many.
	 */
	void closeIdle();

}
