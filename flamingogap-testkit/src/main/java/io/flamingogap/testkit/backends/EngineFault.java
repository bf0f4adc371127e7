package io.flamingogap.testkit.backends;

/**
 * Faults that {@link FakeEngine} injects at one position of each stream; {@link #FAIL}
 * applies to whole requests.
 */
public enum EngineFault {

	/** No fault. */
	NONE,
	/** Sends nothing more and keeps the connection open. */
	STALL,
	/** Closes the connection before the answer is complete. */
	BREAK,
	/** Sends an event of another request before the event of this position. */
	CROSS,
	/** Sends the event of this position twice. */
	DOUBLE,
	/** Omits the event of this position. */
	SKIP,
	/** Answers each request with status 500. */
	FAIL

}
