package io.flamingogap.core.request;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.text.Digests;

/**
 * The state of one keyed request in a {@link RequestLedger}.
 *
 * @param key the idempotency key
 * @param account the name of the client account that used the key first
 * @param digest the result of {@link KeyedRequest#digest()}
 * @param state the progress of the request
 * @param request the request; {@code null} once it has ended
 * @param answer the answer; {@code null} unless the state is {@link KeyState#DONE}
 * @param dispatchedBy the node incarnation that last started to dispatch the request;
 * {@code null} if none did
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
	 * Return whether a request is the one that this entry was created for.
	 * @param other a request with the same key
	 * @return {@code true} if account and digest are equal
	 */
	boolean isSameRequest(KeyedRequest other) {
		return this.account.equals(other.account()) && this.digest.equals(other.digest());
	}

	/**
	 * Return whether an update holds the outcome of the dispatch that this entry waits
	 * for. An update that arrives twice is applied once: after the first time the entry
	 * has ended, is accepted again, or was dispatched by another node. An entry whose
	 * outcome was recorded as unknown still accepts a late answer.
	 * @param update an entry with the same key from the node that dispatched the request
	 * @return {@code true} if it replaces this entry
	 */
	boolean isResolvedBy(LedgerEntry update) {
		boolean sameDispatch = Objects.equals(this.dispatchedBy, update.dispatchedBy);
		return sameDispatch && (this.state == KeyState.DISPATCHED
				|| (this.state == KeyState.UNKNOWN && update.state == KeyState.DONE));
	}

	/**
	 * Return a fingerprint of the key, the state and the dispatching node.
	 * @return the first 64 bits of a SHA-256 digest
	 */
	long fingerprint() {
		return Digests.sha256First64Bits(this.key + " " + this.state + " " + this.dispatchedBy);
	}

	/**
	 * Return the size that counts towards {@link LedgerLimits#maxBytes()}.
	 * @return the size of the stored request and answer bodies in bytes
	 */
	long sizeBytes() {
		long requestBytes = (this.request != null) ? this.request.body().length : 0;
		return requestBytes + ((this.answer != null) ? this.answer.sizeBytes() : 0);
	}

}
