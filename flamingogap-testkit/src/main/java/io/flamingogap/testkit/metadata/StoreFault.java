package io.flamingogap.testkit.metadata;

/**
 * How the store treats calls.
 */
public enum StoreFault {

	/** Answers. */
	NONE,

	/** Answers 503 and does nothing. */
	DOWN,

	/** Answers nothing and does nothing. */
	SILENT,

	/** Answers half a second late. */
	SLOW,

	/** Does what it is asked and closes the connection without an answer. */
	ANSWER_LOST,

	/** Closes the connection and does what it is asked a while later. */
	APPLIED_LATE

}
