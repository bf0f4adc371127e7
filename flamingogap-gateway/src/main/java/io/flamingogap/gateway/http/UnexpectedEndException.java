package io.flamingogap.gateway.http;

import java.io.IOException;

/**
 * Thrown when a connection ended before the end of its input was read.
 */
final class UnexpectedEndException extends IOException {

	private static final long serialVersionUID = 1L;

	UnexpectedEndException() {
		super("connection ended without the end of its input", null);
	}

	@Override
	public Throwable fillInStackTrace() {
		return this;
	}

}
