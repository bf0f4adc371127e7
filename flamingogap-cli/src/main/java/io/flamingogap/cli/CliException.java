package io.flamingogap.cli;

/**
 * Ends a command with a status and a message.
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
