package io.flamingogap.testkit.platform;

/**
 * How the log stand-in treats calls.
 */
public enum LogMode {

	/** Answers at once. */
	UP,
	/** Answers 503 and does nothing. */
	DOWN,
	/** Does what is asked and loses the reply of appends. */
	LOSE_REPLIES,
	/** Does what is asked twice. */
	APPEND_TWICE

}
