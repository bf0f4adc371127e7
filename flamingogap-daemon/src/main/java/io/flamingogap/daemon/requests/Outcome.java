package io.flamingogap.daemon.requests;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.request.Answer;

/**
 * The outcome of one attempt to run a keyed request.
 */
public sealed interface Outcome {

	/**
	 * The request was answered.
	 *
	 * @param answer the answer of the backend server, or of the node that owns the key
	 */
	record Answered(Answer answer) implements Outcome {
	}

	/**
	 * The attempt failed.
	 *
	 * @param failure the cause, and whether the request may have been executed
	 */
	record Failed(Failure failure) implements Outcome {
	}

	/**
	 * The request was handed over to another node.
	 *
	 * @param callerAddress the address at which the caller can retry with the same key
	 */
	record Moved(Address callerAddress) implements Outcome {
	}

	/**
	 * The node that owns the key could not be reached or did not answer.
	 *
	 * @param failure the cause
	 */
	record OwnerUnreachable(Failure failure) implements Outcome {
	}

}
