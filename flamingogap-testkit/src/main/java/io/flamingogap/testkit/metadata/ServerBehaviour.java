package io.flamingogap.testkit.metadata;

/**
 * How a {@link FakeBackendServer} treats a request.
 */
public enum ServerBehaviour {

	/** Executes the request and answers. */
	ANSWER,

	/** Answers 503 and states that the request was not executed. */
	REJECT,

	/** Answers 421 and states that another server is at this address. */
	MISDIRECT,

	/** Executes the request and answers with status 500. */
	FAIL,

	/** Executes the request and closes the connection without an answer. */
	RUN_AND_CLOSE,

	/** Executes the request and sends no answer. */
	HANG,

	/** Sends the answer of another attempt before the right one. */
	FOREIGN_FIRST,

	/** Sends the answer twice. */
	ANSWER_TWICE,

	/** Answers without the header {@code Server-Seal}. */
	UNSIGNED,

	/** Closes the connection in the middle of the second event or of the body. */
	BREAK_OFF,

	/** Sends bytes that are not an HTTP response and closes the connection. */
	GARBAGE,

	/** Sends three more bytes after the answer. */
	SURPLUS_BYTES,

	/** Sends the answer a second time, 200 ms after the first. */
	LATE_COPY,

	/**
	 * Executes the request and answers, but sends an earlier refusal, which names no
	 * attempt, before each answer but the first on a connection.
	 */
	REPEATED_REFUSAL,

	/** Sends bytes without a line end as long as they are read, in place of a head. */
	ENDLESS_HEAD,

	/** Sends a head and then a body without end. */
	ENDLESS_BODY,

	/** Sends one byte of a head every 200 ms, without end. */
	TRICKLED_HEAD,

	/**
	 * Answers with neither a length nor chunks and ends the answer by closing the
	 * connection.
	 */
	UNFRAMED,

	/**
	 * Like {@link #UNFRAMED}, but closes the connection in the middle of the second event
	 * of a stream.
	 */
	UNFRAMED_BREAK_OFF,

	/**
	 * Like {@link #UNFRAMED}, but resets the connection after the second event of a
	 * stream or in the middle of the body.
	 */
	UNFRAMED_RESET,

	/** Like {@link #UNFRAMED_RESET}, but without reading the body of the request. */
	EARLY_UNFRAMED_RESET,

	/** Answers with chunks that end regularly in the middle of the second event. */
	CHUNKS_END_INSIDE_EVENT,

	/** Closes the connection before the end of the head. */
	CUT_HEAD

}
