package io.flamingogap.core.request;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.NodeId;

/**
 * All keys that one node incarnation issued, as one node knows them: the entries of the
 * keys in use, and whether this node owns the keys.
 */
final class KeySpace {

	/** The right of this node to dispatch the requests of a key space. */
	enum Ownership {

		/** Offered by the owner, which has not committed the keys to this node. */
		OFFERED,
		/** Owned by this node, the only one that may dispatch. */
		OWNED,
		/** Committed to a successor; owned again only if the successor refuses. */
		HANDED_OVER,
		/** Refused when the owner committed the keys to this node; never taken over. */
		REFUSED;

		/**
		 * Return whether this node can decide about requests with these keys.
		 * @return {@code true} if the node owns the keys or has committed them to a
		 * successor
		 */
		boolean isAuthoritative() {
			return this == OWNED || this == HANDED_OVER;
		}

	}

	private final NodeId issuer;

	private final Map<String, LedgerEntry> entries = new LinkedHashMap<>();

	private final Map<String, KeyState> exportedStates = new LinkedHashMap<>();

	private Ownership ownership;

	private @Nullable NodeId successor;

	private long forgottenThroughMillis = -1;

	private long keptBytes;

	/** XOR of the entries' fingerprints, so the order of insertion has no influence. */
	private long fingerprint;

	KeySpace(NodeId issuer, Ownership ownership) {
		this.issuer = issuer;
		this.ownership = ownership;
	}

	NodeId issuer() {
		return this.issuer;
	}

	Ownership ownership() {
		return this.ownership;
	}

	@Nullable NodeId successor() {
		return this.successor;
	}

	long forgottenThroughMillis() {
		return this.forgottenThroughMillis;
	}

	long keptBytes() {
		return this.keptBytes;
	}

	int size() {
		return this.entries.size();
	}

	void takeOwnership() {
		this.ownership = Ownership.OWNED;
		this.successor = null;
	}

	void refuseOwnership() {
		this.ownership = Ownership.REFUSED;
		this.entries.clear();
		this.keptBytes = 0;
		this.fingerprint = 0;
	}

	void handOver(NodeId next) {
		this.ownership = Ownership.HANDED_OVER;
		this.successor = next;
	}

	@Nullable LedgerEntry get(RequestKey key) {
		return this.entries.get(key.toString());
	}

	List<LedgerEntry> entries() {
		return List.copyOf(this.entries.values());
	}

	void put(LedgerEntry entry) {
		LedgerEntry previous = this.entries.put(entry.key().toString(), entry);
		this.keptBytes += entry.sizeBytes() - ((previous != null) ? previous.sizeBytes() : 0);
		this.fingerprint ^= entry.fingerprint() ^ ((previous != null) ? previous.fingerprint() : 0);
	}

	/**
	 * Record that keys issued up to a given time may have been removed. Removes no entry.
	 * @param issuedAtMillis the time in milliseconds since 1970 UTC, inclusive; ignored
	 * if it is earlier than a time recorded before
	 */
	void raiseForgottenThrough(long issuedAtMillis) {
		this.forgottenThroughMillis = Math.max(this.forgottenThroughMillis, issuedAtMillis);
	}

	/**
	 * Remove ended entries whose key prefix was issued before a given time. The issue
	 * time of the latest removed key is kept, so that no removed key is treated as new.
	 * @param issuedBeforeMillis the time in milliseconds since 1970 UTC, exclusive
	 */
	void forgetIssuedBefore(long issuedBeforeMillis) {
		Iterator<LedgerEntry> iterator = this.entries.values().iterator();
		while (iterator.hasNext()) {
			LedgerEntry entry = iterator.next();
			if (entry.state().isTerminal() && entry.key().issuedAtMillis() < issuedBeforeMillis) {
				iterator.remove();
				this.exportedStates.remove(entry.key().toString());
				this.keptBytes -= entry.sizeBytes();
				this.fingerprint ^= entry.fingerprint();
				raiseForgottenThrough(entry.key().issuedAtMillis());
			}
		}
	}

	/**
	 * Return the entries whose state has changed since they were last exported, and
	 * record their states as exported.
	 * @return a part that the receiver adds to its entries
	 */
	KeySpacePart exportChanges() {
		List<LedgerEntry> changed = new ArrayList<>();
		for (LedgerEntry entry : this.entries.values()) {
			if (this.exportedStates.put(entry.key().toString(), entry.state()) != entry.state()) {
				changed.add(entry);
			}
		}
		return new KeySpacePart(this.issuer, this.forgottenThroughMillis, changed, false, this.fingerprint);
	}

	/**
	 * Return all entries. Their states are not recorded as exported.
	 * @return a part that replaces all entries at the receiver
	 */
	KeySpacePart exportAll() {
		return new KeySpacePart(this.issuer, this.forgottenThroughMillis, entries(), true, this.fingerprint);
	}

	/**
	 * Apply a part that another node exported.
	 * @param part a part of the same key space; if it replaces all entries, the present
	 * ones are removed first
	 */
	void merge(KeySpacePart part) {
		if (part.replacesAll()) {
			this.entries.clear();
			this.keptBytes = 0;
			this.fingerprint = 0;
		}
		raiseForgottenThrough(part.forgottenThroughMillis());
		part.entries().forEach(this::put);
	}

	/**
	 * Return whether this node holds the same entries in the same states as the sender of
	 * a part.
	 * @param part a part of the same key space
	 * @return {@code true} if the fingerprints are equal
	 */
	boolean isInSyncWith(KeySpacePart part) {
		return this.fingerprint == part.fingerprint();
	}

	/**
	 * Treat all entries as changed, because they are sent to another successor.
	 */
	void restartExport() {
		this.exportedStates.clear();
	}

}
