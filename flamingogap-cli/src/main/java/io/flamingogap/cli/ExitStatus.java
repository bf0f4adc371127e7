package io.flamingogap.cli;

/**
 * The exit statuses of the command line.
 */
enum ExitStatus {

	/** Done. */
	OK(0),
	/** Refused or failed; nothing more will happen. */
	FAILED(1),
	/** The command line or a document can't be used. */
	USAGE(2),
	/** The node could not be reached. */
	UNREACHABLE(3),
	/** The time given with {@code --wait} passed. */
	TIMED_OUT(4);

	private final int code;

	ExitStatus(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
