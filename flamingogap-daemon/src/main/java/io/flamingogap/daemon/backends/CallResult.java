package io.flamingogap.daemon.backends;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.request.Answer;

/**
 * What became of a call to a backend server.
 */
public sealed interface CallResult {

	/**
	 * The backend server answered.
	 *
	 * @param answer the answer
	 */
	record Answered(Answer answer) implements CallResult {
	}

	/**
	 * No byte of the request left this node.
	 *
	 * @param failure why
	 */
	record NotSent(Failure failure) implements CallResult {
	}

	/**
	 * Bytes may have left and no answer came.
	 *
	 * @param failure what happened
	 */
	record Lost(Failure failure) implements CallResult {
	}

}
