package io.flamingogap.core.request;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.text.Digests;

/**
 * What a ledger holds of one key.
 *
 * @param key the key
 * @param account the account that used it first
 * @param digest the digest of the request
 * @param state the state
 * @param request the request, until its outcome is known
 * @param answer the answer, once the state is {@link KeyState#DONE}
 * @param dispatchedBy the node run that sent the request last, if one did
 */
public record LedgerEntry(RequestKey key, String account, String digest, KeyState state, @Nullable KeyedRequest request,
		@Nullable Answer answer, @Nullable NodeId dispatchedBy) {

	public LedgerEntry {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(digest, "digest must not be null");
		Objects.requireNonNull(state, "state must not be null");
	}

	static LedgerEntry accepted(KeyedRequest request) {
		return new LedgerEntry(request.key(), request.account(), request.digest(), KeyState.ACCEPTED, request, null,
				null);
	}

	LedgerEntry dispatched(NodeId by) {
		return new LedgerEntry(this.key, this.account, this.digest, KeyState.DISPATCHED, this.request, null, by);
	}

	LedgerEntry notSent() {
		return new LedgerEntry(this.key, this.account, this.digest, KeyState.ACCEPTED, this.request, null,
				this.dispatchedBy);
	}

	LedgerEntry done(Answer outcome) {
		return new LedgerEntry(this.key, this.account, this.digest, KeyState.DONE, null, outcome, this.dispatchedBy);
	}

	LedgerEntry ended(KeyState outcome) {
		return new LedgerEntry(this.key, this.account, this.digest, outcome, null, null, this.dispatchedBy);
	}

	/**
	 * Return whether another request is the one that this entry was made for.
	 * @param other a request under the same key
	 * @return {@code true} if account and digest are equal
	 */
	boolean isFor(KeyedRequest other) {
		return this.account.equals(other.account()) && this.digest.equals(other.digest());
	}

	/**
	 * Return whether an entry tells the outcome of the dispatch that this entry waits
	 * for. A message that comes twice fits only once, since the entry is then ended or
	 * has been dispatched by another node.
	 * @param update an entry of the same key
	 * @return {@code true} if it replaces this entry
	 */
	boolean isResolvedBy(LedgerEntry update) {
		boolean sameDispatch = Objects.equals(this.dispatchedBy, update.dispatchedBy);
		return sameDispatch && (this.state == KeyState.DISPATCHED
				|| (this.state == KeyState.UNKNOWN && update.state == KeyState.DONE));
	}

	/**
	 * Return a fingerprint of the key and its state.
	 * @return 64 bits of a digest
	 */
	long fingerprint() {
		return Digests.sha256Prefix(this.key + " " + this.state + " " + this.dispatchedBy);
	}

	/**
	 * Return the size counted against the limit of kept bytes.
	 * @return the size in bytes
	 */
	long sizeBytes() {
		long requestBytes = (this.request != null) ? this.request.body().length : 0;
		return requestBytes + ((this.answer != null) ? this.answer.sizeBytes() : 0);
	}

}
