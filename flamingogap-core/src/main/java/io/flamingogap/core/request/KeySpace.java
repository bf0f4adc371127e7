package io.flamingogap.core.request;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.NodeId;

/**
 * The keys under one issuer's prefixes, at one node.
 */
final class KeySpace {

	/** Whether this node may dispatch keys of the space. */
	enum Ownership {

		/** Offered by the owner, who has not committed. */
		INERT,
		/** This node is the only one that may dispatch. */
		OWNED,
		/** Committed to a successor; this node dispatches again only if it refuses. */
		PASSED_ON,
		/** Refused when the owner committed it to this node; never taken. */
		REFUSED;

		/**
		 * Return whether this node owns the keys or knows who took them over from it.
		 * @return {@code true} if it does
		 */
		boolean isDecisive() {
			return this == OWNED || this == PASSED_ON;
		}

	}

	private final NodeId issuer;

	private final Map<String, LedgerEntry> entries = new LinkedHashMap<>();

	private final Map<String, KeyState> offered = new LinkedHashMap<>();

	private Ownership ownership;

	private @Nullable NodeId successor;

	private long forgottenThroughMillis = -1;

	private long keptBytes;

	/** Independent of the order in which entries came. */
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

	void own() {
		this.ownership = Ownership.OWNED;
		this.successor = null;
	}

	void refuse() {
		this.ownership = Ownership.REFUSED;
		this.entries.clear();
		this.keptBytes = 0;
		this.fingerprint = 0;
	}

	void passOn(NodeId next) {
		this.ownership = Ownership.PASSED_ON;
		this.successor = next;
	}

	@Nullable LedgerEntry get(RequestKey key) {
		return this.entries.get(key.toString());
	}

	List<LedgerEntry> entries() {
		return List.copyOf(this.entries.values());
	}

	void put(LedgerEntry entry) {
		LedgerEntry before = this.entries.put(entry.key().toString(), entry);
		this.keptBytes += entry.sizeBytes() - ((before != null) ? before.sizeBytes() : 0);
		this.fingerprint ^= entry.fingerprint() ^ ((before != null) ? before.fingerprint() : 0);
	}

	void forgetThrough(long issuedAtMillis) {
		this.forgottenThroughMillis = Math.max(this.forgottenThroughMillis, issuedAtMillis);
	}

	/**
	 * Forget ended keys whose prefix was issued before a time. The time of the latest
	 * forgotten key is kept, so that no forgotten key can begin again.
	 * @param issuedBeforeMillis the time
	 */
	void forgetIssuedBefore(long issuedBeforeMillis) {
		Iterator<LedgerEntry> iterator = this.entries.values().iterator();
		while (iterator.hasNext()) {
			LedgerEntry entry = iterator.next();
			if (entry.state().isTerminal() && entry.key().issuedAtMillis() < issuedBeforeMillis) {
				iterator.remove();
				this.offered.remove(entry.key().toString());
				this.keptBytes -= entry.sizeBytes();
				this.fingerprint ^= entry.fingerprint();
				forgetThrough(entry.key().issuedAtMillis());
			}
		}
	}

	/**
	 * Return the entries that were not offered in their present state, and take them as
	 * offered.
	 * @return the changed entries
	 */
	KeySpacePart takeUnoffered() {
		List<LedgerEntry> changed = new ArrayList<>();
		for (LedgerEntry entry : this.entries.values()) {
			if (this.offered.put(entry.key().toString(), entry.state()) != entry.state()) {
				changed.add(entry);
			}
		}
		return new KeySpacePart(this.issuer, this.forgottenThroughMillis, changed, false, this.fingerprint);
	}

	/**
	 * Return every entry.
	 * @return a whole part
	 */
	KeySpacePart whole() {
		return new KeySpacePart(this.issuer, this.forgottenThroughMillis, entries(), true, this.fingerprint);
	}

	/**
	 * Take in a part of the same key space.
	 * @param part the part
	 */
	void merge(KeySpacePart part) {
		if (part.full()) {
			this.entries.clear();
			this.keptBytes = 0;
			this.fingerprint = 0;
		}
		forgetThrough(part.forgottenThroughMillis());
		part.entries().forEach(this::put);
	}

	/**
	 * Return whether this node holds what the sender of a part holds.
	 * @param part the part
	 * @return {@code true} if the fingerprints are equal
	 */
	boolean matches(KeySpacePart part) {
		return this.fingerprint == part.fingerprint();
	}

	/**
	 * Forget what was offered, because another successor is tried.
	 */
	void restartOffer() {
		this.offered.clear();
	}

}
