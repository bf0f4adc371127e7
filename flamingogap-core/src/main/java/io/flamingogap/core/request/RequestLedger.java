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
 * The state machine that keeps execution of keyed requests at most once.
 * <p>
 * A key names the only node run that may dispatch it. That right moves to one successor
 * by a commit and never comes back. An entry is kept at least as long as its key may
 * begin a request: a key that isn't in the ledger is new only if it was issued after
 * every forgotten one, so the rule holds whatever the clocks do.
 * <p>
 * Not safe for use by several threads.
 */
public final class RequestLedger {

	private static final int FORGETTING_ROUNDS = 64;

	private final NodeId self;

	private final LedgerLimits limits;

	private final Map<NodeId, KeySpace> spaces = new LinkedHashMap<>();

	private @Nullable NodeId committedTo;

	private long forgottenAtMillis;

	/**
	 * Create a ledger that owns the keys of its own node run.
	 * @param self the node run
	 * @param limits the limits of the ledger
	 */
	public RequestLedger(NodeId self, LedgerLimits limits) {
		this.self = Objects.requireNonNull(self, "self must not be null");
		this.limits = Objects.requireNonNull(limits, "limits must not be null");
		this.spaces.put(self, new KeySpace(self, Ownership.OWNED));
	}

	/**
	 * Decide about an attempt.
	 * @param request the request
	 * @param nowMillis the present time
	 * @return what to do with the attempt
	 */
	public Admission admit(KeyedRequest request, long nowMillis) {
		RequestKey key = request.key();
		KeySpace space = this.spaces.get(key.issuer());
		if (space == null || !space.ownership().isDecisive()) {
			return new Admission.Forward(key.issuer());
		}
		LedgerEntry entry = space.get(key);
		if (entry != null && !entry.isFor(request)) {
			return Admission.Refuse.keyOfAnotherRequest();
		}
		if (entry != null && entry.state() == KeyState.DONE) {
			return new Admission.Replay(Objects.requireNonNull(entry.answer(), "a done entry has an answer"));
		}
		if (space.ownership() == Ownership.PASSED_ON) {
			return new Admission.Forward(Objects.requireNonNull(space.successor(), "a passed-on space has one"));
		}
		return (entry != null) ? admitAgain(entry) : admitNew(space, request, nowMillis);
	}

	private Admission admitAgain(LedgerEntry entry) {
		return switch (entry.state()) {
			case ACCEPTED, DISPATCHED -> new Admission.Join(entry);
			case UNKNOWN -> Admission.Refuse.outcomeUnknown();
			case NOT_RUN -> Admission.Refuse.givenUpBefore();
			case DONE -> throw new IllegalStateException("done entries are replayed");
		};
	}

	private Admission admitNew(KeySpace space, KeyedRequest request, long nowMillis) {
		long issuedAtMillis = request.key().issuedAtMillis();
		boolean early = issuedAtMillis > nowMillis + this.limits.maxClockSkewMillis();
		boolean late = issuedAtMillis + this.limits.firstUseMillis() < nowMillis
				|| issuedAtMillis <= space.forgottenThroughMillis();
		if (early || late) {
			return Admission.Refuse.keyOutOfTime(early);
		}
		forgetEnded(nowMillis, request.body().length);
		if (isFull(request.body().length)) {
			return Admission.Refuse.ledgerFull(this.self, size(), keptBytes());
		}
		LedgerEntry entry = LedgerEntry.accepted(request);
		space.put(entry);
		return new Admission.Dispatch(entry);
	}

	private boolean isFull(long moreBytes) {
		return size() >= this.limits.maxEntries() || keptBytes() + moreBytes > this.limits.maxBytes();
	}

	/**
	 * Forget ended keys, at most {@link #FORGETTING_ROUNDS} times in a retention time
	 * unless the ledger is full, since each round looks at every entry.
	 * @param nowMillis the present time
	 * @param moreBytes the size of what is to be kept next
	 */
	private void forgetEnded(long nowMillis, long moreBytes) {
		long roundMillis = Math.max(1, this.limits.retentionMillis() / FORGETTING_ROUNDS);
		boolean isRoundOver = Math.abs(nowMillis - this.forgottenAtMillis) >= roundMillis;
		if (!isRoundOver && !isFull(moreBytes)) {
			return;
		}
		this.forgottenAtMillis = nowMillis;
		long issuedBeforeMillis = nowMillis - this.limits.retentionMillis();
		this.spaces.values().forEach((space) -> space.forgetIssuedBefore(issuedBeforeMillis));
	}

	/**
	 * Take the right to send a request to a backend server.
	 * @param key the key
	 * @return {@code true} if the request may be sent, now and only by the caller of this
	 * method
	 */
	public boolean startDispatch(RequestKey key) {
		return isOwner(key.issuer()) && replace(key, KeyState.ACCEPTED, (entry) -> entry.dispatched(this.self));
	}

	/**
	 * Record the answer of a backend server.
	 * @param key the key
	 * @param answer the answer
	 */
	public void recordAnswer(RequestKey key, Answer answer) {
		replace(key, KeyState.DISPATCHED, (entry) -> entry.done(answer));
	}

	/**
	 * Record that the outcome of a dispatched request can't be known.
	 * @param key the key
	 */
	public void recordUnknown(RequestKey key) {
		replace(key, KeyState.DISPATCHED, (entry) -> entry.ended(KeyState.UNKNOWN));
	}

	/**
	 * Record that no byte of a dispatched request left this node, so that it may be
	 * dispatched again.
	 * @param key the key
	 */
	public void recordNotSent(RequestKey key) {
		replace(key, KeyState.DISPATCHED, LedgerEntry::notSent);
	}

	/**
	 * Give up a request that was not dispatched.
	 * @param key the key
	 * @return {@code true} if the request will never be run
	 */
	public boolean cancel(RequestKey key) {
		return isOwner(key.issuer()) && replace(key, KeyState.ACCEPTED, (entry) -> entry.ended(KeyState.NOT_RUN));
	}

	private boolean replace(RequestKey key, KeyState expected, UnaryOperator<LedgerEntry> change) {
		Optional<LedgerEntry> held = find(key).filter((entry) -> entry.state() == expected);
		held.ifPresent((entry) -> this.spaces.get(key.issuer()).put(change.apply(entry)));
		return held.isPresent();
	}

	/**
	 * Return the entries to offer to a successor that it doesn't hold yet.
	 * @return the parts, one for each owned key space
	 */
	public List<KeySpacePart> offer() {
		return exportUnoffered(Ownership.OWNED);
	}

	/**
	 * Begin the offer again, for another successor.
	 */
	public void restartOffer() {
		this.spaces.values().forEach(KeySpace::restartOffer);
	}

	/**
	 * Give up the right to dispatch, for good and to one successor only.
	 * @param successor the node that holds the offer
	 * @return the entries that changed since the offer; to be sent to this successor
	 * until it confirms
	 */
	public List<KeySpacePart> commit(NodeId successor) {
		if (this.committedTo != null) {
			throw new IllegalStateException("already committed to " + this.committedTo);
		}
		this.committedTo = successor;
		List<KeySpacePart> parts = exportUnoffered(Ownership.OWNED);
		this.spaces.values()
			.stream()
			.filter((space) -> space.ownership() == Ownership.OWNED)
			.forEach((space) -> space.passOn(successor));
		return parts;
	}

	/**
	 * Return every entry of the committed key spaces, for a successor that lacks some.
	 * @return the parts, to be committed to the same successor
	 */
	public List<KeySpacePart> fullCommit() {
		return this.spaces.values()
			.stream()
			.filter((space) -> space.ownership() == Ownership.PASSED_ON)
			.map(KeySpace::whole)
			.toList();
	}

	/**
	 * Take the right to dispatch back after a successor has refused the commit for good.
	 * @param successor the node that refused
	 * @return {@code true} if another successor may be tried
	 */
	public boolean recordCommitRefused(NodeId successor) {
		if (!successor.equals(this.committedTo)) {
			return false;
		}
		this.committedTo = null;
		this.spaces.values()
			.stream()
			.filter((space) -> space.ownership() == Ownership.PASSED_ON)
			.forEach(KeySpace::own);
		restartOffer();
		return true;
	}

	/**
	 * Return the outcomes that became known since the commit.
	 * @return the changed entries
	 */
	public List<KeySpacePart> outcomesSinceCommit() {
		return exportUnoffered(Ownership.PASSED_ON);
	}

	private List<KeySpacePart> exportUnoffered(Ownership ownership) {
		List<KeySpacePart> parts = new ArrayList<>();
		for (KeySpace space : this.spaces.values()) {
			if (space.ownership() == ownership) {
				parts.add(space.takeUnoffered());
			}
		}
		return parts;
	}

	/**
	 * Hold the entries of an offer without the right to dispatch them.
	 * @param parts the offered parts
	 */
	public void receiveOffer(List<KeySpacePart> parts) {
		for (KeySpacePart part : parts) {
			KeySpace space = this.spaces.computeIfAbsent(part.issuer(),
					(issuer) -> new KeySpace(issuer, Ownership.INERT));
			if (space.ownership() == Ownership.INERT) {
				space.merge(part);
			}
		}
	}

	/**
	 * Take over the right to dispatch. Doing so twice changes nothing. Nothing is taken
	 * over unless this node then holds every entry of the sender: an offer may have been
	 * lost or overtaken, and a key without its entry would be taken for a new one.
	 * @param parts the committed parts
	 * @return what this node did
	 */
	public CommitResult receiveCommit(List<KeySpacePart> parts) {
		receiveOffer(parts);
		List<KeySpacePart> pending = parts.stream()
			.filter((part) -> this.spaces.get(part.issuer()).ownership() == Ownership.INERT)
			.toList();
		if (parts.stream().anyMatch((part) -> this.spaces.get(part.issuer()).ownership() == Ownership.REFUSED)
				|| (this.committedTo != null && !pending.isEmpty())) {
			pending.forEach((part) -> this.spaces.get(part.issuer()).refuse());
			return new CommitResult.Refused();
		}
		if (!pending.stream().allMatch((part) -> this.spaces.get(part.issuer()).matches(part))) {
			return new CommitResult.Incomplete();
		}
		List<KeySpace> taken = pending.stream().map((part) -> this.spaces.get(part.issuer())).toList();
		taken.forEach(KeySpace::own);
		return new CommitResult.Taken(taken.stream()
			.flatMap((space) -> space.entries().stream())
			.filter((entry) -> entry.state() == KeyState.ACCEPTED)
			.toList());
	}

	/**
	 * Learn the outcomes of requests that the former owner had dispatched.
	 * @param parts the changed entries
	 * @return the entries that turned out not to have been sent and are to be dispatched
	 */
	public List<LedgerEntry> receiveOutcomes(List<KeySpacePart> parts) {
		List<LedgerEntry> toDispatch = new ArrayList<>();
		for (KeySpacePart part : parts) {
			KeySpace space = this.spaces.get(part.issuer());
			for (LedgerEntry update : part.entries()) {
				LedgerEntry held = (space != null) ? space.get(update.key()) : null;
				if (held != null && held.isResolvedBy(update)) {
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
	 * Give up waiting for outcomes from a node that has died: whatever it had sent may
	 * have been executed.
	 * @param dispatcher the node run
	 * @return the keys whose outcome is now unknown
	 */
	public List<RequestKey> recordDispatcherLost(NodeId dispatcher) {
		if (dispatcher.equals(this.self)) {
			throw new IllegalArgumentException("dispatcher must be another node");
		}
		List<RequestKey> lost = new ArrayList<>();
		for (KeySpace space : this.spaces.values()) {
			for (LedgerEntry entry : space.entries()) {
				if (entry.state() == KeyState.DISPATCHED && dispatcher.equals(entry.dispatchedBy())) {
					space.put(entry.ended(KeyState.UNKNOWN));
					lost.add(entry.key());
				}
			}
		}
		return lost;
	}

	/**
	 * Return what the ledger holds of a key.
	 * @param key the key
	 * @return the entry, if there is one
	 */
	public Optional<LedgerEntry> find(RequestKey key) {
		KeySpace space = this.spaces.get(key.issuer());
		return (space != null) ? Optional.ofNullable(space.get(key)) : Optional.empty();
	}

	/**
	 * Return whether this node may dispatch keys of an issuer.
	 * @param issuer the node run that a prefix names
	 * @return {@code true} if it may
	 */
	public boolean isOwner(NodeId issuer) {
		KeySpace space = this.spaces.get(issuer);
		return space != null && space.ownership() == Ownership.OWNED;
	}

	/**
	 * Return the number of requests that are not ended.
	 * @return the number of accepted and dispatched entries
	 */
	public int openRequests() {
		return (int) this.spaces.values()
			.stream()
			.flatMap((space) -> space.entries().stream())
			.filter((entry) -> !entry.state().isTerminal())
			.count();
	}

	/**
	 * Return the number of kept keys.
	 * @return the number of entries
	 */
	public int size() {
		return this.spaces.values().stream().mapToInt(KeySpace::size).sum();
	}

	/**
	 * Return the size of the kept requests and answers.
	 * @return the size in bytes
	 */
	public long keptBytes() {
		return this.spaces.values().stream().mapToLong(KeySpace::keptBytes).sum();
	}

}
