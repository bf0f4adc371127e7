package io.flamingogap.cli;

/**
 * The exit statuses of the client.
 */
enum ExitStatus {

	/** The command succeeded. */
	OK(0),
	/** The command was refused or failed; nothing more happens. */
	FAILED(1),
	/** The command line or the manifest is invalid. */
	USAGE(2),
	/** The node could not be reached. */
	UNREACHABLE(3),
	/** The effect was not seen within the time given by {@code --wait}. */
	TIMED_OUT(4);

	private final int code;

	ExitStatus(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
