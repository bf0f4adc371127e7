package io.flamingogap.core.request;

import java.util.List;

/**
 * The outcome of a commit at the node that receives it.
 */
public sealed interface CommitResult {

	/**
	 * This node owns the committed keys.
	 *
	 * @param toDispatch the entries in state {@link KeyState#ACCEPTED} that this commit
	 * moved to the node and that it must now dispatch; empty if the commit is repeated
	 */
	record Taken(List<LedgerEntry> toDispatch) implements CommitResult {
	}

	/**
	 * The node lacks entries and takes nothing over; a full commit may succeed.
	 */
	record Incomplete() implements CommitResult {
	}

	/**
	 * The node has handed its own keys over to a successor and will never take these.
	 */
	record Refused() implements CommitResult {
	}

}
