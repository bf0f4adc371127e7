package io.flamingogap.core.request;

import java.util.List;

/**
 * What a node did with a commit.
 */
public sealed interface CommitResult {

	/**
	 * The node owns the keys.
	 *
	 * @param toDispatch the accepted entries that it now has to dispatch
	 */
	record Taken(List<LedgerEntry> toDispatch) implements CommitResult {
	}

	/**
	 * The node lacks entries; it may take the keys from a whole commit.
	 */
	record Incomplete() implements CommitResult {
	}

	/**
	 * The node has passed its own keys on and will never take these.
	 */
	record Refused() implements CommitResult {
	}

}
