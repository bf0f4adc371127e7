package io.flamingogap.testkit.metadata;

/**
 * Faults of {@link FakeMetadataStore}.
 */
public enum StoreFault {

	/** No fault. */
	NONE,

	/** Answers 503 and does not execute the call. */
	DOWN,

	/** Closes the connections of all calls, also of open reads, and executes none. */
	UNREACHABLE,

	/** Sends no answer and does not execute the call. */
	SILENT,

	/** Executes and answers the call after half a second. */
	SLOW,

	/** Executes the call and closes the connection without an answer. */
	ANSWER_LOST,

	/** Closes the connection and executes the call 300 ms later. */
	APPLIED_LATE

}
