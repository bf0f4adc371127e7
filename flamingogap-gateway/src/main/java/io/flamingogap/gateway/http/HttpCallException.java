package io.flamingogap.gateway.http;

/**
 * Thrown if an HTTP call got no usable response. The call may have taken effect unless
 * nothing of it was sent.
 */
public final class HttpCallException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final boolean maybeSent;

	/**
	 * Create an exception.
	 * @param peer the address that was called, at the end of the message
	 * @param problem what failed; starts the message and ends with a preposition, as in
	 * "connection closed by"
	 * @param maybeSent whether the peer may have received bytes of the request
	 */
	public HttpCallException(String peer, String problem, boolean maybeSent) {
		super(problem + " " + peer, null, false, false);
		this.maybeSent = maybeSent;
	}

	/**
	 * Return whether the call may have taken effect.
	 * @return {@code false} if nothing of the request was sent
	 */
	public boolean mayHaveTakenEffect() {
		return this.maybeSent;
	}

}
