package io.flamingogap.core.error;

/**
 * Step of serving a request at which a failure can occur.
 */
public enum Step {

	/** Parsing and validating the request. */
	PARSE,
	/** Identifying the caller and checking what it may do. */
	AUTHENTICATE,
	/** Deciding whether the request is accepted. */
	ADMIT,
	/** Selecting a backend server. */
	ROUTE,
	/** Opening a connection to a peer. */
	CONNECT,
	/** Sending the request and waiting for the response. */
	DISPATCH,
	/** Relaying a token stream to the caller. */
	STREAM,
	/** Forwarding a request to the entry node that owns its idempotency key. */
	FORWARD,
	/** Writing to the platform log. */
	APPEND,
	/** Reading from the platform log or from a peer. */
	READ,
	/** Handing open requests over to another entry node. */
	HANDOVER

}
