package io.flamingogap.cli;

/**
 * Ends the command: the message is printed to standard error and the process exits with
 * the status.
 */
final class CliException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ExitStatus status;

	CliException(ExitStatus status, String message) {
		super(message);
		this.status = status;
	}

	ExitStatus status() {
		return this.status;
	}

}
