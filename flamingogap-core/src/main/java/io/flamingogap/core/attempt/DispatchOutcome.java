package io.flamingogap.core.attempt;

/**
 * The outcome of a dispatch to a backend server that yields no answer for the caller.
 */
public enum DispatchOutcome {

	/** No byte was sent, for example because no connection could be opened. */
	NOT_SENT(false, false),

	/** The server reported that it did not and will not execute the request. */
	REJECTED(true, false),

	/** Another server now has the address; it did not execute the request. */
	MISDIRECTED(true, false),

	/** The connection broke, or the answer did not belong to this dispatch. */
	BROKEN(true, true),

	/** The server did not answer within the time it was given. */
	SILENT(true, true),

	/** The server executed the request and answered with an error. */
	FAILED(true, true);

	private final boolean mayHaveReachedServer;

	private final boolean mayHaveRun;

	DispatchOutcome(boolean mayHaveReachedServer, boolean mayHaveRun) {
		this.mayHaveReachedServer = mayHaveReachedServer;
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Return whether the request may have reached the server.
	 * @return {@code false} if no byte was sent
	 */
	public boolean mayHaveReachedServer() {
		return this.mayHaveReachedServer;
	}

	/**
	 * Return whether the server may have executed the request.
	 * @return {@code false} if the server certainly did not and will not execute it
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
