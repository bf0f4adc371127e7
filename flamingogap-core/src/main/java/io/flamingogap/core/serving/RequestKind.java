package io.flamingogap.core.serving;

/**
 * What may be repeated of the requests of a route.
 */
public enum RequestKind {

	/** May be executed any number of times. */
	IDEMPOTENT,

	/** May be executed at most once for each attempt of a caller. */
	AT_MOST_ONCE,

	/** Answered by a series of events; executed at most once unless it may be resumed. */
	STREAM

}
