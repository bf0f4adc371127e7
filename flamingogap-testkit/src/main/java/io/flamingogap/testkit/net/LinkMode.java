package io.flamingogap.testkit.net;

/**
 * How a {@link FaultyLink} treats connections and bytes.
 */
public enum LinkMode {

	/** Forwards all bytes. */
	PASS,
	/** Closes the open connections and each new one once it is accepted. */
	CUT,
	/**
	 * Refuses new connections like a port without a listener, and closes the open ones.
	 */
	REFUSE,
	/** Drops all bytes in both directions and keeps the connections open. */
	SILENT,
	/** Drops all bytes that the client sends. */
	DROP_REQUESTS,
	/** Drops all bytes that the server sends. */
	DROP_REPLIES

}
