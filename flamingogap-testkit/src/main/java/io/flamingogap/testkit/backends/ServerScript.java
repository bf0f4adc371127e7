package io.flamingogap.testkit.backends;

/**
 * What a {@link ScriptedServer} does with each request.
 */
public enum ServerScript {

	/** Answers and keeps the connection open, whatever the request asks. */
	ANSWER,
	/** Reads the request and closes the connection. */
	READ_AND_CLOSE,
	/** Reads the request and says nothing. */
	SILENT,
	/** Answers after the time that the caller allows. */
	ANSWER_LATE,
	/** Sends the same answer twice. */
	ANSWER_TWICE,
	/** Answers, and closes the connection when the next request arrives on it. */
	CLOSE_ON_REUSE

}
