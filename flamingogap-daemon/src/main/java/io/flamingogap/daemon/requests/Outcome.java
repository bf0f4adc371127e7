package io.flamingogap.daemon.requests;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.request.Answer;

/**
 * What an attempt of a keyed request is told.
 */
public sealed interface Outcome {

	/**
	 * The answer of a backend server, or of the node that owns the key.
	 *
	 * @param answer the answer
	 */
	record Answered(Answer answer) implements Outcome {
	}

	/**
	 * There is no answer.
	 *
	 * @param failure why
	 */
	record Failed(Failure failure) implements Outcome {
	}

	/**
	 * The request was passed on to another node.
	 *
	 * @param callerAddress where to ask again with the same key
	 */
	record Moved(Address callerAddress) implements Outcome {
	}

	/**
	 * The node that owns the key did not answer.
	 *
	 * @param failure why
	 */
	record OwnerUnreachable(Failure failure) implements Outcome {
	}

}
