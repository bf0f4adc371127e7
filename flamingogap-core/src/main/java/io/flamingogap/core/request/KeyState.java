package io.flamingogap.core.request;

/**
 * The state of a keyed request in a {@link RequestLedger}.
 */
public enum KeyState {

	/** Accepted; no byte was sent to a backend server. */
	ACCEPTED(false),
	/** Bytes may have reached a backend server; the outcome is awaited. */
	DISPATCHED(false),
	/** A backend server answered. */
	DONE(true),
	/**
	 * Bytes may have reached a backend server, and the outcome could not be determined.
	 * An outcome that the previous owner of the key reports later can still change the
	 * state to {@link #DONE}.
	 */
	UNKNOWN(true),
	/** Cancelled before any byte was sent; the request will never be executed. */
	NOT_RUN(true);

	private final boolean terminal;

	KeyState(boolean terminal) {
		this.terminal = terminal;
	}

	/**
	 * Return whether the request has ended.
	 * @return {@code true} if the request is neither waiting for a dispatch nor for an
	 * outcome
	 */
	public boolean isTerminal() {
		return this.terminal;
	}

}
