package io.flamingogap.core.request;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
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

		private static final String CALLER = "caller";

		static Refuse keyOfAnotherRequest() {
			return new Refuse(Failure.notRun(ProblemType.KEY_REUSED, Step.ADMIT, CALLER,
					"the key belongs to another request; this attempt was not run"));
		}

		static Refuse outcomeUnknown() {
			return new Refuse(Failure.outcomeUnknown(Step.DISPATCH, "backend server",
					"an earlier attempt may have been executed; it is not repeated"));
		}

		static Refuse givenUpBefore() {
			return new Refuse(Failure.notRun(ProblemType.DEADLINE_EXCEEDED, Step.ADMIT, CALLER,
					"the request under this key was given up before it was run; use a new key"));
		}

		/**
		 * Refuse a key that may not begin a request at this time.
		 * @param early whether it was issued in the future, rather than too long ago
		 * @return the refusal
		 */
		static Refuse keyOutOfTime(boolean early) {
			return new Refuse(Failure.notRun(ProblemType.KEY_EXPIRED, Step.ADMIT, CALLER,
					"the prefix is " + (early ? "from the future" : "too old to begin a request")
							+ "; this attempt was not run, an earlier attempt may have been"));
		}

		static Refuse ledgerFull(NodeId node, int keys, long bytes) {
			return new Refuse(Failure.notRun(ProblemType.OVERLOADED, Step.ADMIT, node.toString(),
					"the ledger is full: " + keys + " keys, " + bytes + " bytes"));
		}

	}

	/**
	 * Another node owns the key.
	 *
	 * @param owner the node to ask
	 */
	record Forward(NodeId owner) implements Admission {
	}

}
