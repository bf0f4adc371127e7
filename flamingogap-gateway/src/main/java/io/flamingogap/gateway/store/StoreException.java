package io.flamingogap.gateway.store;

import java.util.concurrent.CompletionException;

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
	 * Find the failure of a call of the store, which dependent futures wrap.
	 * @param failure the failure as a future tells it
	 * @return the store's own failure, or one with an unknown outcome
	 */
	public static StoreException of(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException wrapped && wrapped.getCause() != null)
				? wrapped.getCause() : failure;
		return (cause instanceof StoreException own) ? own
				: new StoreException(Reason.UNKNOWN, String.valueOf(cause.getMessage()));
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
