package io.flamingogap.core.request;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.node.NodeId;

/**
 * What a ledger decided about one attempt.
 */
public sealed interface Admission {

	/**
	 * The attempt is the first one: dispatch it.
	 *
	 * @param entry the new entry
	 */
	record Dispatch(LedgerEntry entry) implements Admission {
	}

	/**
	 * An earlier attempt is under way: wait for its outcome.
	 *
	 * @param entry the entry of the earlier attempt
	 */
	record Join(LedgerEntry entry) implements Admission {
	}

	/**
	 * The request was answered before.
	 *
	 * @param answer the kept answer
	 */
	record Replay(Answer answer) implements Admission {
	}

	/**
	 * The attempt is refused.
	 *
	 * @param failure why
	 */
	record Refuse(Failure failure) implements Admission {
	}

	/**
	 * Another node owns the key.
	 *
	 * @param owner the node to ask
	 */
	record Elsewhere(NodeId owner) implements Admission {
	}

}
