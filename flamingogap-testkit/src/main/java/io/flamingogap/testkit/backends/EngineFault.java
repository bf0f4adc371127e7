package io.flamingogap.testkit.backends;

/**
 * How the engine stand-in misbehaves in the middle of a stream.
 */
public enum EngineFault {

	/** Not at all. */
	NONE,
	/** Goes silent and keeps the connection open. */
	STALL,
	/** Closes the connection. */
	BREAK,
	/** Sends an event of another request. */
	CROSS,
	/** Sends an event twice. */
	DOUBLE,
	/** Leaves an event out. */
	SKIP,
	/** Answers 500 at once. */
	FAIL

}
