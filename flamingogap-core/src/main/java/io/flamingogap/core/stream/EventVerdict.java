package io.flamingogap.core.stream;

/**
 * The result of checking an event of a model engine against a {@link StreamCursor}.
 */
public enum EventVerdict {

	/** The next event of this request: forward it. */
	PASS,
	/**
	 * An event at a position that was already forwarded, or any event of this request
	 * after the last one was forwarded: drop it.
	 */
	DUPLICATE,
	/** An event of another request: drop it and abandon the connection. */
	FOREIGN,
	/** Earlier events are missing: resume at {@link StreamCursor#nextPosition()}. */
	GAP

}
