package io.flamingogap.gateway.http;

/**
 * A call that got no answer. Whether it took effect isn't known unless it was never sent.
 */
public final class HttpCallException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final boolean sent;

	/**
	 * Create an exception.
	 * @param peer the address that was called
	 * @param step what failed
	 * @param sent whether bytes of the call may have reached the peer
	 */
	public HttpCallException(String peer, String step, boolean sent) {
		super(step + " " + peer, null, false, false);
		this.sent = sent;
	}

	/**
	 * Return whether the call may have taken effect.
	 * @return {@code false} if it was never sent
	 */
	public boolean mayHaveTakenEffect() {
		return this.sent;
	}

}
