package io.flamingogap.daemon.requests;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.membership.Member;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.Admission;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.CommitResult;
import io.flamingogap.core.request.KeySpacePart;
import io.flamingogap.core.request.KeyState;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.core.request.LedgerEntry;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.core.request.RequestLedger;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.nodes.Membership;
import io.flamingogap.daemon.nodes.NodeClients;
import io.flamingogap.daemon.nodes.PeerRequestHandler;
import io.flamingogap.daemon.platformlog.RequestTransition;
import io.flamingogap.daemon.platformlog.RequestTransitionLog;

/**
 * Runs keyed requests. The ledger decides on each attempt, a new request is dispatched in
 * the background, and all attempts with the same key wait for the same outcome.
 */
public final class KeyedRequests implements PeerRequestHandler {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long an attempt is retried while the owner of its key is unreachable. */
	private static final long OWNER_RETRY_TIMEOUT_MILLIS = 2_000;

	private static final long OWNER_RETRY_INTERVAL_MILLIS = 100;

	private final RequestLedger ledger;

	private final Dispatcher dispatcher;

	private final Membership membership;

	private final NodeClients nodeClients;

	private final RequestTransitionLog records;

	private final ExecutorService executor;

	private final Clock clock;

	private final Map<String, CompletableFuture<Outcome>> pendingOutcomes = new ConcurrentHashMap<>();

	/**
	 * Create an instance without pending requests.
	 * @param ledger the ledger of this node, accessed only under the lock of this object
	 * @param dispatcher sends requests to backend servers
	 * @param membership the membership table, which names the owners of keys
	 * @param nodeClients forwards requests to the nodes that own their keys
	 * @param records writes the state changes of keys to the platform log
	 * @param executor runs the dispatches
	 * @param clock the clock for deadlines
	 */
	public KeyedRequests(RequestLedger ledger, Dispatcher dispatcher, Membership membership, NodeClients nodeClients,
			RequestTransitionLog records, ExecutorService executor, Clock clock) {
		this.ledger = ledger;
		this.dispatcher = dispatcher;
		this.membership = membership;
		this.nodeClients = nodeClients;
		this.records = records;
		this.executor = executor;
		this.clock = clock;
	}

	/**
	 * Answer an attempt that a caller sent to this node. Blocks until the outcome is
	 * known or the deadline of the attempt has passed.
	 * @param request the request of the attempt
	 * @return the outcome; never {@link Outcome.OwnerUnreachable}
	 */
	public Outcome answer(KeyedRequest request) {
		long retryUntilMillis = Math.min(request.deadlineMillis(), this.clock.millis() + OWNER_RETRY_TIMEOUT_MILLIS);
		Outcome outcome = answerOrForward(request);
		while (outcome instanceof Outcome.OwnerUnreachable && this.clock.millis() < retryUntilMillis) {
			sleep(OWNER_RETRY_INTERVAL_MILLIS);
			outcome = answerOrForward(request);
		}
		if (outcome instanceof Outcome.OwnerUnreachable unreachable) {
			return new Outcome.Failed(Failure.outcomeUnknown(Step.FORWARD, unreachable.failure().peer(),
					"the node that owns the key can't be reached: " + unreachable.failure().detail()));
		}
		return outcome;
	}

	private Outcome answerOrForward(KeyedRequest request) {
		NodeId owner = this.membership.ownerOf(request.key().issuer());
		Admission admission = admit(request);
		if (!(admission instanceof Admission.Forward forward)) {
			return resolve(request, admission);
		}
		NodeId target = forward.owner().equals(request.key().issuer()) ? owner
				: this.membership.ownerOf(forward.owner());
		return forward(target, request);
	}

	private Outcome forward(NodeId owner, KeyedRequest request) {
		Optional<Member> member = this.membership.find(owner);
		if (member.isEmpty() || owner.equals(this.membership.localMember().node())) {
			return new Outcome.OwnerUnreachable(
					Failure.outcomeUnknown(Step.FORWARD, owner.toString(), "no other node with this id is known"));
		}
		Either<Failure, Answer> answer = this.nodeClients.forward(member.get(), request);
		return answer.fold(Outcome.OwnerUnreachable::new, Outcome.Answered::new);
	}

	private synchronized Admission admit(KeyedRequest request) {
		Admission admission = this.ledger.admit(request, this.clock.millis());
		if (admission instanceof Admission.Dispatch) {
			startDispatch(request);
		}
		return admission;
	}

	private Outcome resolve(KeyedRequest request, Admission admission) {
		if (admission instanceof Admission.Replay replay) {
			return new Outcome.Answered(replay.answer());
		}
		if (admission instanceof Admission.Refuse refuse) {
			return new Outcome.Failed(refuse.failure());
		}
		return awaitOutcome(request);
	}

	private Outcome awaitOutcome(KeyedRequest request) {
		CompletableFuture<Outcome> pending = pendingOutcome(request.key());
		Optional<Outcome> ended = findEndedOutcome(request.key());
		if (ended.isPresent()) {
			return ended.get();
		}
		try {
			long remainingMillis = Math.max(1, request.deadlineMillis() - this.clock.millis());
			return pending.get(remainingMillis, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			if (cancelIfExpired(request.key())) {
				return outcomeOf(find(request.key()).orElseThrow());
			}
			return new Outcome.Failed(Failure.outcomeUnknown(Step.DISPATCH, "backend server",
					"no answer before the deadline; the request may still be executed"));
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("a pending outcome must not complete exceptionally", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Outcome.Failed(
					Failure.outcomeUnknown(Step.DISPATCH, "backend server", "the entry node is stopping"));
		}
	}

	/**
	 * Cancel a request if the deadline of its first attempt has passed and nothing was
	 * sent.
	 * @param key the idempotency key
	 * @return {@code true} if the request will never be executed
	 */
	private synchronized boolean cancelIfExpired(RequestKey key) {
		long nowMillis = this.clock.millis();
		return this.ledger.find(key)
			.map(LedgerEntry::request)
			.filter((accepted) -> accepted.deadlineMillis() <= nowMillis)
			.filter((accepted) -> this.ledger.cancel(key))
			.isPresent();
	}

	private CompletableFuture<Outcome> pendingOutcome(RequestKey key) {
		return this.pendingOutcomes.computeIfAbsent(key.toString(), (text) -> new CompletableFuture<>());
	}

	/**
	 * Return the outcome of a request that ended before the attempt started to wait for
	 * it.
	 * @param key the idempotency key
	 * @return the outcome; empty if the request has not ended
	 */
	private synchronized Optional<Outcome> findEndedOutcome(RequestKey key) {
		Optional<LedgerEntry> entry = this.ledger.find(key).filter((found) -> found.state().isTerminal());
		entry.ifPresent((found) -> this.pendingOutcomes.remove(key.toString()));
		return entry.map(KeyedRequests::outcomeOf);
	}

	private static Outcome outcomeOf(LedgerEntry entry) {
		Answer answer = entry.answer();
		if (answer != null) {
			return new Outcome.Answered(answer);
		}
		if (entry.state() == KeyState.NOT_RUN) {
			return new Outcome.Failed(Failure.notRun(ProblemType.NO_BACKEND, Step.ROUTE, "backend server",
					"no backend server could take the request before its deadline"));
		}
		return new Outcome.Failed(Failure.outcomeUnknown(Step.DISPATCH, "backend server",
				"no answer was received; the request may have been executed"));
	}

	private void startDispatch(KeyedRequest request) {
		recordTransition(request.key());
		this.executor.execute(() -> this.dispatcher.run(request, new LedgerTransitions(request.key())));
	}

	private void complete(RequestKey key, Outcome outcome) {
		CompletableFuture<Outcome> pending = this.pendingOutcomes.remove(key.toString());
		if (pending != null) {
			pending.complete(outcome);
		}
	}

	private void recordTransition(RequestKey key) {
		find(key).ifPresent((entry) -> this.records.record(new RequestTransition(key.toString(), entry.account(),
				entry.state().name(), Optional.ofNullable(entry.answer()).map(Answer::status).orElse(0))));
	}

	private void completeIfEnded(RequestKey key) {
		find(key).filter((entry) -> entry.state().isTerminal()).ifPresent((entry) -> complete(key, outcomeOf(entry)));
	}

	/**
	 * Apply a function to the ledger under the lock of this object.
	 * @param <T> the type of the result
	 * @param step the function; no other thread accesses the ledger meanwhile
	 * @return the result of the function
	 */
	public synchronized <T> T withLedger(Function<RequestLedger, T> step) {
		return step.apply(this.ledger);
	}

	/**
	 * Record as unknown the outcomes of requests that were dispatched by nodes that are
	 * now unreachable, and complete the attempts that wait for them.
	 */
	public void recordLostDispatchers() {
		this.membership.members()
			.stream()
			.filter((member) -> !member.isReachable() && !member.node().equals(this.membership.localMember().node()))
			.flatMap(
					(member) -> withLedger((lockedLedger) -> lockedLedger.recordDispatcherLost(member.node())).stream())
			.forEach(this::completeIfEnded);
	}

	/**
	 * Redirect all waiting callers to the node that has taken over their requests.
	 * @param successor the row of the successor in the membership table
	 */
	public void redirectWaitingCallers(Member successor) {
		List.copyOf(this.pendingOutcomes.keySet()).forEach((key) -> {
			CompletableFuture<Outcome> pending = this.pendingOutcomes.remove(key);
			if (pending != null) {
				pending.complete(new Outcome.Moved(successor.callerAddress()));
			}
		});
	}

	private synchronized Optional<LedgerEntry> find(RequestKey key) {
		return this.ledger.find(key);
	}

	@Override
	public Answer answerForwarded(KeyedRequest request) {
		Admission admission = admit(request);
		if (admission instanceof Admission.Forward forward) {
			return Exchanges.problemAnswer(Failure.outcomeUnknown(Step.FORWARD, forward.owner().toString(),
					"the key is owned by another node"));
		}
		Outcome outcome = resolve(request, admission);
		if (outcome instanceof Outcome.Answered answered) {
			return answered.answer();
		}
		if (outcome instanceof Outcome.Failed failed) {
			return Exchanges.problemAnswer(failed.failure());
		}
		return Exchanges
			.problemAnswer(Failure.outcomeUnknown(Step.HANDOVER, this.membership.localMember().node().toString(),
					"the request was handed over to another node; retry with the same key"));
	}

	@Override
	public Optional<LedgerEntry> find(RequestKey key, String account) {
		return find(key).filter((entry) -> entry.account().equals(account));
	}

	@Override
	public synchronized void receiveOffer(List<KeySpacePart> parts) {
		this.ledger.receiveOffer(parts);
	}

	@Override
	public CommitResult receiveCommit(List<KeySpacePart> parts) {
		CommitResult result = withLedger((lockedLedger) -> lockedLedger.receiveCommit(parts));
		logger.atInfo().log("commit of %d key spaces: %s", parts.size(), result.getClass().getSimpleName());
		if (result instanceof CommitResult.Taken taken) {
			taken.toDispatch().forEach(this::dispatchTakenOver);
		}
		return result;
	}

	@Override
	public void receiveOutcomes(List<KeySpacePart> parts) {
		withLedger((lockedLedger) -> lockedLedger.receiveOutcomes(parts)).forEach(this::dispatchTakenOver);
		parts.forEach((part) -> part.entries().forEach((entry) -> completeIfEnded(entry.key())));
	}

	private void dispatchTakenOver(LedgerEntry entry) {
		KeyedRequest request = entry.request();
		if (request != null) {
			startDispatch(request);
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Records the state changes of one key in the ledger and in the platform log.
	 */
	private final class LedgerTransitions implements Dispatcher.Transitions {

		private final RequestKey key;

		private LedgerTransitions(RequestKey key) {
			this.key = key;
		}

		@Override
		public boolean startDispatch() {
			boolean mayDispatch = withLedger((lockedLedger) -> lockedLedger.startDispatch(this.key));
			if (mayDispatch) {
				recordTransition(this.key);
			}
			return mayDispatch;
		}

		@Override
		public void recordAnswer(Answer answer) {
			withLedger((lockedLedger) -> {
				lockedLedger.recordAnswer(this.key, answer);
				return this.key;
			});
			recordTransition(this.key);
			completeIfEnded(this.key);
		}

		@Override
		public void recordUnknown() {
			withLedger((lockedLedger) -> {
				lockedLedger.recordUnknown(this.key);
				return this.key;
			});
			recordTransition(this.key);
			completeIfEnded(this.key);
		}

		@Override
		public void cancel() {
			withLedger((lockedLedger) -> lockedLedger.cancel(this.key));
			recordTransition(this.key);
			completeIfEnded(this.key);
		}

	}

}
