package io.flamingogap.core.request;

/**
 * The state of a key in a ledger.
 */
public enum KeyState {

	/** Accepted; nothing has been sent to a backend server. */
	ACCEPTED(false),
	/** Bytes may have reached a backend server. */
	DISPATCHED(false),
	/** A backend server answered. */
	DONE(true),
	/** Bytes may have reached a backend server and no answer will be known. */
	UNKNOWN(true),
	/** Given up before anything was sent. */
	NOT_RUN(true);

	private final boolean terminal;

	KeyState(boolean terminal) {
		this.terminal = terminal;
	}

	/**
	 * Return whether the state is the last one of a key.
	 * @return {@code true} if no transition leaves it
	 */
	public boolean isTerminal() {
		return this.terminal;
	}

}
