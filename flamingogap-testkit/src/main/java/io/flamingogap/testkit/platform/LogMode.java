package io.flamingogap.testkit.platform;

/**
 * How {@link FakeLog} treats calls.
 */
public enum LogMode {

	/** Answers without a fault. */
	UP,
	/** Answers 503 and neither appends nor reads. */
	DOWN,
	/** Appends the record but sends no offset back; reads are answered. */
	LOSE_REPLIES,
	/** Appends each record twice and answers the first offset. */
	APPEND_TWICE

}
