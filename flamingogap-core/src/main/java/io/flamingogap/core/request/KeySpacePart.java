package io.flamingogap.core.request;

import java.util.List;
import java.util.Objects;

import io.flamingogap.core.node.NodeId;

/**
 * Entries of one issuer's key space that are transferred to a successor: either every
 * entry or those that changed since the previous transfer.
 *
 * @param issuer the node incarnation that issued the keys
 * @param forgottenThroughMillis the latest issue time of a removed key, in milliseconds
 * since 1970 UTC; -1 if no key was removed
 * @param entries the transferred entries
 * @param replacesAll whether the receiver discards its entries of this key space before
 * it stores these: true for a part with all entries or, if such a part is split, for its
 * first chunk only
 * @param fingerprint the fingerprint over all entries of the key space at the sender
 */
public record KeySpacePart(NodeId issuer, long forgottenThroughMillis, List<LedgerEntry> entries, boolean replacesAll,
		long fingerprint) {

	public KeySpacePart {
		Objects.requireNonNull(issuer, "issuer must not be null");
		entries = List.copyOf(entries);
	}

}
