package io.flamingogap.core.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.KeySpace.Ownership;

/**
 * State machine that ensures that each keyed request is executed at most once.
 * <p>
 * A key is owned by the node incarnation that issued it, and only the owner may dispatch
 * its request. A commit moves the ownership to one successor. This node gets it back only
 * if the successor refuses the commit; a refusal is final.
 * <p>
 * An owner removes an entry only after its key has become too old to start a request. A
 * key without an entry counts as new only if it was issued after every removed key, so a
 * request is not executed again even if a clock jumps.
 * <p>
 * Not thread-safe.
 */
public final class RequestLedger {

	private static final int FORGET_ROUNDS_PER_RETENTION = 64;

	private final NodeId self;

	private final LedgerLimits limits;

	private final Map<NodeId, KeySpace> keySpaces = new LinkedHashMap<>();

	private @Nullable NodeId committedTo;

	private long lastForgetMillis;

	/**
	 * Create a ledger that owns the keys issued by its own node incarnation.
	 * @param self this node incarnation
	 * @param limits the size and time limits
	 */
	public RequestLedger(NodeId self, LedgerLimits limits) {
		this.self = Objects.requireNonNull(self, "self must not be null");
		this.limits = Objects.requireNonNull(limits, "limits must not be null");
		this.keySpaces.put(self, new KeySpace(self, Ownership.OWNED));
	}

	/**
	 * Decide what to do with an attempt, and create an entry if its key is new.
	 * @param request the request of the attempt
	 * @param nowMillis the current time in milliseconds since 1970 UTC
	 * @return the decision, which the caller carries out
	 */
	public Admission admit(KeyedRequest request, long nowMillis) {
		RequestKey key = request.key();
		KeySpace space = this.keySpaces.get(key.issuer());
		if (space == null || !space.ownership().isAuthoritative()) {
			return new Admission.Forward(key.issuer());
		}
		LedgerEntry entry = space.get(key);
		if (entry != null && !entry.isSameRequest(request)) {
			return Admission.Refuse.keyReused();
		}
		if (entry != null && entry.state() == KeyState.DONE) {
			return new Admission.Replay(
					Objects.requireNonNull(entry.answer(), "an entry in state DONE must have an answer"));
		}
		if (space.ownership() == Ownership.HANDED_OVER) {
			return new Admission.Forward(Objects.requireNonNull(space.successor(),
					"a key space that was handed over must have a successor"));
		}
		return (entry != null) ? admitRetry(entry) : admitNew(space, request, nowMillis);
	}

	private Admission admitRetry(LedgerEntry entry) {
		return switch (entry.state()) {
			case ACCEPTED, DISPATCHED -> new Admission.Join(entry);
			case UNKNOWN -> Admission.Refuse.outcomeUnknown();
			case NOT_RUN -> Admission.Refuse.cancelledBefore();
			case DONE -> throw new IllegalStateException("the answer of an entry in state DONE must be replayed");
		};
	}

	private Admission admitNew(KeySpace space, KeyedRequest request, long nowMillis) {
		long issuedAtMillis = request.key().issuedAtMillis();
		boolean issuedInFuture = issuedAtMillis > nowMillis + this.limits.maxClockSkewMillis();
		boolean issuedTooLongAgo = issuedAtMillis + this.limits.firstUseMillis() < nowMillis
				|| issuedAtMillis <= space.forgottenThroughMillis();
		if (issuedInFuture || issuedTooLongAgo) {
			return Admission.Refuse.keyNotUsable(issuedInFuture);
		}
		forgetEndedEntries(nowMillis, request.body().length);
		if (isFull(request.body().length)) {
			return Admission.Refuse.ledgerFull(this.self, size(), keptBytes());
		}
		LedgerEntry entry = LedgerEntry.accepted(request);
		space.put(entry);
		return new Admission.Dispatch(entry);
	}

	private boolean isFull(long additionalBytes) {
		return size() >= this.limits.maxEntries() || keptBytes() + additionalBytes > this.limits.maxBytes();
	}

	/**
	 * Remove entries that have ended and whose retention time has passed. Each round
	 * iterates over all entries, so unless the ledger is full there are at most
	 * {@link #FORGET_ROUNDS_PER_RETENTION} rounds in a retention time.
	 * @param nowMillis the current time in milliseconds since 1970 UTC
	 * @param additionalBytes the size of the request body to store next
	 */
	private void forgetEndedEntries(long nowMillis, long additionalBytes) {
		long roundMillis = Math.max(1, this.limits.retentionMillis() / FORGET_ROUNDS_PER_RETENTION);
		// The clock may have been set back, so the difference can be negative.
		boolean isRoundDue = Math.abs(nowMillis - this.lastForgetMillis) >= roundMillis;
		if (!isRoundDue && !isFull(additionalBytes)) {
			return;
		}
		this.lastForgetMillis = nowMillis;
		long issuedBeforeMillis = nowMillis - this.limits.retentionMillis();
		this.keySpaces.values().forEach((space) -> space.forgetIssuedBefore(issuedBeforeMillis));
	}

	/**
	 * Start the dispatch of an accepted request to a backend server.
	 * @param key the idempotency key
	 * @return {@code true} if the caller, and nobody else, may now send the request;
	 * {@code false} if this node does not own the key or the request is not in state
	 * {@link KeyState#ACCEPTED}
	 */
	public boolean startDispatch(RequestKey key) {
		return isOwner(key.issuer()) && transition(key, KeyState.ACCEPTED, (entry) -> entry.dispatched(this.self));
	}

	/**
	 * Record the answer of a backend server. Has no effect unless the request is in state
	 * {@link KeyState#DISPATCHED}.
	 * @param key the idempotency key
	 * @param answer the answer to store and replay
	 */
	public void recordAnswer(RequestKey key, Answer answer) {
		transition(key, KeyState.DISPATCHED, (entry) -> entry.done(answer));
	}

	/**
	 * Record that the outcome of a dispatched request is unknown. Has no effect unless
	 * the request is in state {@link KeyState#DISPATCHED}.
	 * @param key the idempotency key
	 */
	public void recordUnknown(RequestKey key) {
		transition(key, KeyState.DISPATCHED, (entry) -> entry.ended(KeyState.UNKNOWN));
	}

	/**
	 * Record that no byte of a dispatched request was sent, so that it may be dispatched
	 * again. Has no effect unless the request is in state {@link KeyState#DISPATCHED}.
	 * @param key the idempotency key
	 */
	public void recordNotSent(RequestKey key) {
		transition(key, KeyState.DISPATCHED, LedgerEntry::notSent);
	}

	/**
	 * Cancel an accepted request that was not dispatched.
	 * @param key the idempotency key
	 * @return {@code true} if the request will never be executed; {@code false} if this
	 * node does not own the key or the request is not in state {@link KeyState#ACCEPTED}
	 */
	public boolean cancel(RequestKey key) {
		return isOwner(key.issuer()) && transition(key, KeyState.ACCEPTED, (entry) -> entry.ended(KeyState.NOT_RUN));
	}

	private boolean transition(RequestKey key, KeyState expected, UnaryOperator<LedgerEntry> change) {
		Optional<LedgerEntry> found = find(key).filter((entry) -> entry.state() == expected);
		found.ifPresent((entry) -> this.keySpaces.get(key.issuer()).put(change.apply(entry)));
		return found.isPresent();
	}

	/**
	 * Return the entries of owned key spaces that have changed since the previous offer,
	 * or all of them for the first one, and record them as exported. The receiver must
	 * pass them to {@link #receiveOffer}. Entries of a lost offer are exported again only
	 * if their state changes, after {@link #restartOffer}, or by {@link #fullCommit}.
	 * @return one part for each owned key space, which may have no entries
	 */
	public List<KeySpacePart> exportOffer() {
		return exportChanges(Ownership.OWNED);
	}

	/**
	 * Restart the offer for another successor: the next one holds all entries.
	 */
	public void restartOffer() {
		this.keySpaces.values().forEach(KeySpace::restartExport);
	}

	/**
	 * Hand the ownership of all owned key spaces over to a successor. Unless this
	 * successor refuses, this node does not get the ownership back and can choose no
	 * other successor.
	 * @param successor the node that received the offer
	 * @return the entries that have changed since the offer; to be sent to this successor
	 * until it confirms or refuses the commit
	 */
	public List<KeySpacePart> commit(NodeId successor) {
		if (this.committedTo != null) {
			throw new IllegalStateException("already committed to " + this.committedTo);
		}
		this.committedTo = successor;
		List<KeySpacePart> parts = exportChanges(Ownership.OWNED);
		this.keySpaces.values()
			.stream()
			.filter((space) -> space.ownership() == Ownership.OWNED)
			.forEach((space) -> space.handOver(successor));
		return parts;
	}

	/**
	 * Return all entries of the committed key spaces, for a successor that lacks some.
	 * @return parts that replace all entries at the receiver, to be sent to the same
	 * successor as a commit
	 */
	public List<KeySpacePart> fullCommit() {
		return this.keySpaces.values()
			.stream()
			.filter((space) -> space.ownership() == Ownership.HANDED_OVER)
			.map(KeySpace::exportAll)
			.toList();
	}

	/**
	 * Take the ownership back because the successor has refused the commit.
	 * @param successor the node that refused
	 * @return {@code true} if another successor may be tried; {@code false} if the key
	 * spaces are not committed to this node, so that nothing changes
	 */
	public boolean recordCommitRefused(NodeId successor) {
		if (!successor.equals(this.committedTo)) {
			return false;
		}
		this.committedTo = null;
		this.keySpaces.values()
			.stream()
			.filter((space) -> space.ownership() == Ownership.HANDED_OVER)
			.forEach(KeySpace::takeOwnership);
		restartOffer();
		return true;
	}

	/**
	 * Return the entries of committed key spaces that have changed since the previous
	 * export, such as requests in flight whose outcomes became known, and record them as
	 * exported.
	 * @return one part for each committed key space, which may have no entries
	 */
	public List<KeySpacePart> exportNewOutcomes() {
		return exportChanges(Ownership.HANDED_OVER);
	}

	private List<KeySpacePart> exportChanges(Ownership ownership) {
		List<KeySpacePart> parts = new ArrayList<>();
		for (KeySpace space : this.keySpaces.values()) {
			if (space.ownership() == ownership) {
				parts.add(space.exportChanges());
			}
		}
		return parts;
	}

	/**
	 * Store the entries of an offer without taking over their ownership. Entries of key
	 * spaces that this node owns, handed over or refused are ignored.
	 * @param parts the offered parts
	 */
	public void receiveOffer(List<KeySpacePart> parts) {
		for (KeySpacePart part : parts) {
			KeySpace space = this.keySpaces.computeIfAbsent(part.issuer(),
					(issuer) -> new KeySpace(issuer, Ownership.OFFERED));
			if (space.ownership() == Ownership.OFFERED) {
				space.merge(part);
			}
		}
	}

	/**
	 * Take over the ownership of key spaces. A repeated commit has no further effect.
	 * <p>
	 * Nothing is taken over unless this node then holds the same entries as the sender.
	 * An earlier offer may have been lost or reordered, and a key whose entry is missing
	 * would be treated as new and its request executed a second time.
	 * @param parts the committed parts
	 * @return the outcome, to be returned to the sender
	 */
	public CommitResult receiveCommit(List<KeySpacePart> parts) {
		receiveOffer(parts);
		List<KeySpacePart> pending = parts.stream()
			.filter((part) -> this.keySpaces.get(part.issuer()).ownership() == Ownership.OFFERED)
			.toList();
		if (parts.stream().anyMatch((part) -> this.keySpaces.get(part.issuer()).ownership() == Ownership.REFUSED)
				|| (this.committedTo != null && !pending.isEmpty())) {
			pending.forEach((part) -> this.keySpaces.get(part.issuer()).refuseOwnership());
			return new CommitResult.Refused();
		}
		if (!pending.stream().allMatch((part) -> this.keySpaces.get(part.issuer()).isInSyncWith(part))) {
			return new CommitResult.Incomplete();
		}
		List<KeySpace> takenOver = pending.stream().map((part) -> this.keySpaces.get(part.issuer())).toList();
		takenOver.forEach(KeySpace::takeOwnership);
		return new CommitResult.Taken(takenOver.stream()
			.flatMap((space) -> space.entries().stream())
			.filter((entry) -> entry.state() == KeyState.ACCEPTED)
			.toList());
	}

	/**
	 * Record the outcomes of requests that the previous owner had dispatched.
	 * @param parts the changed entries of the previous owner
	 * @return the entries that this node must dispatch, because the previous owner sent
	 * no byte of them
	 */
	public List<LedgerEntry> receiveOutcomes(List<KeySpacePart> parts) {
		List<LedgerEntry> toDispatch = new ArrayList<>();
		for (KeySpacePart part : parts) {
			KeySpace space = this.keySpaces.get(part.issuer());
			for (LedgerEntry update : part.entries()) {
				LedgerEntry entry = (space != null) ? space.get(update.key()) : null;
				if (entry != null && entry.isResolvedBy(update)) {
					space.put(update);
					if (update.state() == KeyState.ACCEPTED && space.ownership() == Ownership.OWNED) {
						toDispatch.add(update);
					}
				}
			}
		}
		return toDispatch;
	}

	/**
	 * Record that another node has stopped or failed, so that it will report no more
	 * outcomes. The requests that it had dispatched may have been executed.
	 * @param dispatcher the incarnation of the other node
	 * @return the keys of the requests whose outcome is now unknown
	 */
	public List<RequestKey> recordDispatcherLost(NodeId dispatcher) {
		if (dispatcher.equals(this.self)) {
			throw new IllegalArgumentException("dispatcher must not be this node");
		}
		List<RequestKey> unknown = new ArrayList<>();
		for (KeySpace space : this.keySpaces.values()) {
			for (LedgerEntry entry : space.entries()) {
				if (entry.state() == KeyState.DISPATCHED && dispatcher.equals(entry.dispatchedBy())) {
					space.put(entry.ended(KeyState.UNKNOWN));
					unknown.add(entry.key());
				}
			}
		}
		return unknown;
	}

	/**
	 * Return the entry of a key.
	 * @param key the idempotency key
	 * @return the entry; empty if the key is unknown or was removed
	 */
	public Optional<LedgerEntry> find(RequestKey key) {
		KeySpace space = this.keySpaces.get(key.issuer());
		return (space != null) ? Optional.ofNullable(space.get(key)) : Optional.empty();
	}

	/**
	 * Return whether this node owns the keys of an issuer.
	 * @param issuer the node incarnation that issued the keys
	 * @return {@code true} if this node may dispatch their requests
	 */
	public boolean isOwner(NodeId issuer) {
		KeySpace space = this.keySpaces.get(issuer);
		return space != null && space.ownership() == Ownership.OWNED;
	}

	/**
	 * Return the number of requests that have not ended.
	 * @return the number of entries in state {@link KeyState#ACCEPTED} or
	 * {@link KeyState#DISPATCHED}
	 */
	public int openRequests() {
		return (int) this.keySpaces.values()
			.stream()
			.flatMap((space) -> space.entries().stream())
			.filter((entry) -> !entry.state().isTerminal())
			.count();
	}

	/**
	 * Return the number of entries.
	 * @return the number over all key spaces, including ended requests
	 */
	public int size() {
		return this.keySpaces.values().stream().mapToInt(KeySpace::size).sum();
	}

	/**
	 * Return the size that counts towards {@link LedgerLimits#maxBytes()}.
	 * @return the total size of the stored request and answer bodies in bytes
	 */
	public long keptBytes() {
		return this.keySpaces.values().stream().mapToLong(KeySpace::keptBytes).sum();
	}

}
