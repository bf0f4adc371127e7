package io.flamingogap.core.request;

import java.util.List;
import java.util.Objects;

import io.flamingogap.core.node.NodeId;

/**
 * Part of the entries under one issuer's prefixes, on its way to a successor.
 *
 * @param issuer the node run that the prefixes name
 * @param forgottenThroughMillis the latest issue time of a forgotten key
 * @param entries the entries of this part
 * @param full whether the part holds every entry, and replaces what was offered
 * @param fingerprint the fingerprint of every entry at the sender
 */
public record KeySpacePart(NodeId issuer, long forgottenThroughMillis, List<LedgerEntry> entries, boolean full,
		long fingerprint) {

	public KeySpacePart {
		Objects.requireNonNull(issuer, "issuer must not be null");
		entries = List.copyOf(entries);
	}

}
