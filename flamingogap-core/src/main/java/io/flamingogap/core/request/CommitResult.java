package io.flamingogap.core.request;

import java.util.List;

/**
 * The outcome of a commit at the node that receives it.
 */
public sealed interface CommitResult {

	/**
	 * This node owns the committed keys.
	 *
	 * @param toDispatch the accepted entries that this commit moved to the node and that
	 * it must now dispatch; empty if it had taken them over before
	 */
	record Taken(List<LedgerEntry> toDispatch) implements CommitResult {
	}

	/**
	 * The node misses entries and takes nothing over; it may succeed with a full commit.
	 */
	record Incomplete() implements CommitResult {
	}

	/**
	 * The node has handed its own keys over to a successor and will never take these.
	 */
	record Refused() implements CommitResult {
	}

}
