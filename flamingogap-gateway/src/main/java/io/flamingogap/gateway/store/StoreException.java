package io.flamingogap.gateway.store;

/**
 * A call to the store that did not do what it should.
 */
public final class StoreException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Reason reason;

	/**
	 * Create an exception.
	 * @param reason why the call failed
	 * @param detail what happened, for people
	 */
	public StoreException(Reason reason, String detail) {
		super(detail, null, false, false);
		this.reason = reason;
	}

	/**
	 * Return why the call failed.
	 * @return the reason
	 */
	public Reason reason() {
		return this.reason;
	}

	/**
	 * Why a call failed.
	 */
	public enum Reason {

		/** The store refused the call or did nothing. */
		UNAVAILABLE,

		/** No answer came; the call may have taken effect or still may. */
		UNKNOWN,

		/** The records that were asked for are gone. */
		DROPPED,

		/** The stream has another end than the append expected. */
		CONFLICT

	}

}
