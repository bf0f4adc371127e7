package io.flamingogap.daemon.backends;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.request.Answer;

/**
 * Result of a call to a backend server.
 */
public sealed interface CallResult {

	/**
	 * The backend server sent a complete answer.
	 *
	 * @param answer the answer, with any HTTP status
	 */
	record Answered(Answer answer) implements CallResult {
	}

	/**
	 * No byte of the request was sent, so it was certainly not executed.
	 *
	 * @param failure the reason
	 */
	record NotSent(Failure failure) implements CallResult {
	}

	/**
	 * The request may have been sent and executed, but no complete answer was received.
	 *
	 * @param failure the reason
	 */
	record Lost(Failure failure) implements CallResult {
	}

}
