package io.flamingogap.core.stream;

/**
 * What to do with an event from a model engine.
 */
public enum EventVerdict {

	/** The next event of this request: pass it on. */
	PASS,
	/** An event that was passed on before: drop it. */
	DUPLICATE,
	/** An event of another request: drop it and leave the connection. */
	FOREIGN,
	/** Events before this one are missing: resume at the next position. */
	GAP

}
