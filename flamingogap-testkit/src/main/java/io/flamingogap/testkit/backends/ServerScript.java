package io.flamingogap.testkit.backends;

/**
 * How a {@link ScriptedServer} treats each request.
 */
public enum ServerScript {

	/** Answers and keeps the connection open, whatever the request asks for. */
	ANSWER,
	/** Reads the request and closes the connection. */
	READ_AND_CLOSE,
	/** Reads the request and sends nothing. */
	SILENT,
	/**
	 * Answers after {@link ScriptedServer#LATE_MILLIS}, when the caller has timed out.
	 */
	ANSWER_LATE,
	/** Sends the same answer twice. */
	ANSWER_TWICE,
	/** Answers, and closes the connection when the next request arrives on it. */
	CLOSE_ON_REUSE,
	/**
	 * Sends the bytes set by {@link ScriptedServer#setResponse} and closes the
	 * connection.
	 */
	RESPOND_AND_CLOSE,
	/**
	 * Sends the bytes set by {@link ScriptedServer#setResponse} before reading the body
	 * of the request, and resets the connection.
	 */
	RESPOND_EARLY_AND_RESET

}
