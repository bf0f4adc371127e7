package io.flamingogap.core.error;

/**
 * The step of serving a request at which a failure arose.
 */
public enum Step {

	/** Reading and checking what the caller sent. */
	PARSE,
	/** Finding out who the caller is and what they may do. */
	AUTHENTICATE,
	/** Deciding whether the request can be taken. */
	ADMIT,
	/** Choosing a backend server. */
	ROUTE,
	/** Opening a connection to a peer. */
	CONNECT,
	/** Sending the request and waiting for the answer. */
	DISPATCH,
	/** Passing a token stream on. */
	STREAM,
	/** Passing a keyed request to the entry node that owns the key. */
	FORWARD,
	/** Writing to the platform log. */
	APPEND,
	/** Reading from the platform log or from a peer. */
	READ,
	/** Passing open requests to another entry node. */
	HANDOVER

}
