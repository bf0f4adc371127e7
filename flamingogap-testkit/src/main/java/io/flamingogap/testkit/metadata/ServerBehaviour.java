package io.flamingogap.testkit.metadata;

/**
 * What a backend server does with a request.
 */
public enum ServerBehaviour {

	/** Runs it and answers. */
	ANSWER,

	/** Says that it did not run it. */
	REJECT,

	/** Says that another server has its address. */
	MISDIRECT,

	/** Runs it and answers with a failure. */
	FAIL,

	/** Runs it and closes the connection. */
	RUN_AND_CLOSE,

	/** Runs it and answers nothing. */
	HANG,

	/** Answers with the answer to another attempt first. */
	FOREIGN_FIRST,

	/** Answers twice. */
	ANSWER_TWICE,

	/** Answers without the signature. */
	UNSIGNED,

	/** Breaks off in the middle of the second event or of the body. */
	BREAK_OFF,

	/** Answers with bytes that are no answer. */
	GARBAGE

}
