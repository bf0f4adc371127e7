package io.flamingogap.core.request;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.node.NodeId;

/**
 * The decision of a {@link RequestLedger} on one attempt to send a keyed request.
 */
public sealed interface Admission {

	/**
	 * The key is new: send the request to a backend server.
	 *
	 * @param entry the entry that was created for the key
	 */
	record Dispatch(LedgerEntry entry) implements Admission {
	}

	/**
	 * An earlier attempt with the same key is in progress: wait for its outcome.
	 *
	 * @param entry the entry of the earlier attempt
	 */
	record Join(LedgerEntry entry) implements Admission {
	}

	/**
	 * The request was already answered: return the stored answer.
	 *
	 * @param answer the stored answer
	 */
	record Replay(Answer answer) implements Admission {
	}

	/**
	 * The attempt is refused and is not executed.
	 *
	 * @param failure the reason, and whether an earlier attempt may have been executed
	 */
	record Refuse(Failure failure) implements Admission {

		private static final String CALLER = "caller";

		static Refuse keyReused() {
			return new Refuse(Failure.notRun(ProblemType.KEY_REUSED, Step.ADMIT, CALLER,
					"the key was used for a different request; this attempt was not run"));
		}

		static Refuse outcomeUnknown() {
			return new Refuse(Failure.outcomeUnknown(Step.DISPATCH, "backend server",
					"an earlier attempt may have been executed; it is not repeated"));
		}

		static Refuse cancelledBefore() {
			return new Refuse(Failure.notRun(ProblemType.DEADLINE_EXCEEDED, Step.ADMIT, CALLER,
					"the request with this key was cancelled before it was dispatched; use a new key"));
		}

		/**
		 * Refuse a new request because its key was issued in the future, too long ago, or
		 * not after every key that was removed from the ledger.
		 * @param issuedInFuture {@code true} if the key was issued in the future,
		 * {@code false} for the other reasons
		 * @return a refusal with {@link ProblemType#KEY_EXPIRED}
		 */
		static Refuse keyNotUsable(boolean issuedInFuture) {
			return new Refuse(Failure.notRun(ProblemType.KEY_EXPIRED, Step.ADMIT, CALLER,
					"the key prefix "
							+ (issuedInFuture ? "was issued in the future"
									: "is too old to start a request or not newer than a removed key")
							+ "; this attempt was not run, an earlier attempt may have been"));
		}

		static Refuse ledgerFull(NodeId node, int keys, long bytes) {
			return new Refuse(Failure.notRun(ProblemType.OVERLOADED, Step.ADMIT, node.toString(),
					"the ledger is full: " + keys + " keys, " + bytes + " bytes"));
		}

	}

	/**
	 * This node does not own the key: forward the request.
	 *
	 * @param owner the owner as far as this node knows: the successor that it committed
	 * the key to, else the node incarnation that issued the key
	 */
	record Forward(NodeId owner) implements Admission {
	}

}
