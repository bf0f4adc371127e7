package io.flamingogap.core.attempt;

/**
 * How a dispatch to a backend server ended without an answer to pass on.
 */
public enum DispatchOutcome {

	/** No connection could be opened; no byte was sent. */
	NOT_SENT(false, false),

	/** The server said that it did not and will not run the request. */
	REJECTED(true, false),

	/** Another server has the address; it did not run the request. */
	MISDIRECTED(true, false),

	/** The connection broke, or the answer was no answer to this request. */
	BROKEN(true, true),

	/** The server was silent for as long as it was given. */
	SILENT(true, true),

	/** The server ran the request and answered with a failure of its own. */
	FAILED(true, true);

	private final boolean arrived;

	private final boolean mayHaveRun;

	DispatchOutcome(boolean arrived, boolean mayHaveRun) {
		this.arrived = arrived;
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Return whether the request may have reached the server.
	 * @return {@code false} if no byte was sent
	 */
	public boolean arrived() {
		return this.arrived;
	}

	/**
	 * Return whether the server may have run the request.
	 * @return {@code false} if it certainly did not and will not
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
