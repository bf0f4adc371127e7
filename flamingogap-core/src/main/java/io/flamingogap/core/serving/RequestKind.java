package io.flamingogap.core.serving;

/**
 * Kind of the requests of a route, which decides whether a request may be executed again.
 */
public enum RequestKind {

	/** The request may be executed any number of times. */
	IDEMPOTENT,

	/** The request may be executed at most once for each attempt of a caller. */
	AT_MOST_ONCE,

	/**
	 * The response is a stream of events. The request may be executed at most once,
	 * unless the route lets another server resume the stream.
	 */
	STREAM

}
