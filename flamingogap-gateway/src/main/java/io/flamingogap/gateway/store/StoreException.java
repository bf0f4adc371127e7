package io.flamingogap.gateway.store;

import java.util.concurrent.CompletionException;

/**
 * Thrown when a call to the store fails, or when it is unknown whether it took effect.
 */
public final class StoreException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Reason reason;

	/**
	 * Create an exception without a stack trace.
	 * @param reason why the call failed
	 * @param detail a description for log lines
	 */
	public StoreException(Reason reason, String detail) {
		super(detail, null, false, false);
		this.reason = reason;
	}

	/**
	 * Return the {@link StoreException} behind the failure of a future. Dependent futures
	 * wrap it in a {@link CompletionException}.
	 * @param failure the failure that a future was completed with
	 * @return the original exception; for a failure of another type, a new one with the
	 * reason {@link Reason#UNKNOWN} whose message names the type
	 */
	public static StoreException of(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException wrapper && wrapper.getCause() != null)
				? wrapper.getCause() : failure;
		return (cause instanceof StoreException storeException) ? storeException
				: new StoreException(Reason.UNKNOWN, String.valueOf(cause));
	}

	/**
	 * Return why the call failed.
	 * @return the reason, which also says whether the call may have taken effect
	 */
	public Reason reason() {
		return this.reason;
	}

	/**
	 * Reasons for the failure of a call.
	 */
	public enum Reason {

		/** The call had no effect: the store was not reached or refused the call. */
		UNAVAILABLE,

		/** No answer arrived; the call may have taken effect or may do so later. */
		UNKNOWN,

		/** The store no longer has the requested records. */
		DROPPED,

		/**
		 * The stream ends before the offset to read from, so the store has returned from
		 * an earlier copy if that offset has been read before.
		 */
		SHORTENED,

		/** The stream doesn't end at the offset that the append expected. */
		CONFLICT;

		/**
		 * Return whether the store answered that it doesn't have the requested records.
		 * @return {@code true} if the stream has to be listed
		 */
		public boolean areRecordsMissing() {
			return this == DROPPED || this == SHORTENED;
		}

	}

}
