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
 * Runs keyed requests: decides with the ledger, dispatches in the background, and has all
 * attempts of a key wait for the one outcome.
 */
public final class KeyedRequests implements PeerRequestHandler {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** How long a request waits for the owner of its key to be heard of. */
	private static final long OWNER_PATIENCE_MILLIS = 2_000;

	private static final long OWNER_RETRY_MILLIS = 100;

	private final RequestLedger ledger;

	private final Dispatcher dispatcher;

	private final Membership membership;

	private final NodeClients nodeClients;

	private final RequestTransitionLog records;

	private final ExecutorService executor;

	private final Clock clock;

	private final Map<String, CompletableFuture<Outcome>> waiting = new ConcurrentHashMap<>();

	/**
	 * Create the runner.
	 * @param ledger the ledger, used only under this object's lock
	 * @param dispatcher sends requests to backend servers
	 * @param membership the membership table
	 * @param nodeClients calls other nodes
	 * @param records keeps transitions in the platform log
	 * @param executor runs dispatches
	 * @param clock tells the present time
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
	 * Answer an attempt that a caller sent to this node.
	 * @param request the request
	 * @return the outcome
	 */
	public Outcome answer(KeyedRequest request) {
		long giveUpMillis = Math.min(request.deadlineMillis(), this.clock.millis() + OWNER_PATIENCE_MILLIS);
		Outcome outcome = answerHereOrAt(request);
		while (outcome instanceof Outcome.OwnerUnreachable && this.clock.millis() < giveUpMillis) {
			sleep(OWNER_RETRY_MILLIS);
			outcome = answerHereOrAt(request);
		}
		if (outcome instanceof Outcome.OwnerUnreachable unreachable) {
			return new Outcome.Failed(Failure.outcomeUnknown(Step.FORWARD, unreachable.failure().peer(),
					"the node that owns the key can't be reached: " + unreachable.failure().detail()));
		}
		return outcome;
	}

	private Outcome answerHereOrAt(KeyedRequest request) {
		NodeId owner = this.membership.ownerOf(request.key().issuer());
		Admission admission = admit(request);
		if (!(admission instanceof Admission.Forward forward)) {
			return conclude(request, admission);
		}
		NodeId target = forward.owner().equals(request.key().issuer()) ? owner
				: this.membership.ownerOf(forward.owner());
		return forward(target, request);
	}

	private Outcome forward(NodeId owner, KeyedRequest request) {
		Optional<Member> member = this.membership.find(owner);
		if (member.isEmpty() || owner.equals(this.membership.localMember().node())) {
			return new Outcome.OwnerUnreachable(
					Failure.outcomeUnknown(Step.FORWARD, owner.toString(), "no such node is known"));
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

	private Outcome conclude(KeyedRequest request, Admission admission) {
		if (admission instanceof Admission.Replay replay) {
			return new Outcome.Answered(replay.answer());
		}
		if (admission instanceof Admission.Refuse refuse) {
			return new Outcome.Failed(refuse.failure());
		}
		return await(request);
	}

	private Outcome await(KeyedRequest request) {
		CompletableFuture<Outcome> pending = future(request.key());
		Optional<Outcome> ended = endedOutcome(request.key());
		if (ended.isPresent()) {
			return ended.get();
		}
		try {
			long leftMillis = Math.max(1, request.deadlineMillis() - this.clock.millis());
			return pending.get(leftMillis, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			if (giveUpExpired(request.key())) {
				return outcomeOf(find(request.key()).orElseThrow());
			}
			return new Outcome.Failed(Failure.outcomeUnknown(Step.DISPATCH, "backend server",
					"no answer before the deadline; the request may still be executed"));
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("outcomes are never failed futures", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Outcome.Failed(
					Failure.outcomeUnknown(Step.DISPATCH, "backend server", "the entry node is stopping"));
		}
	}

	/**
	 * Give a request up if its first attempt's deadline has passed and nothing was sent.
	 * @param key the key
	 * @return {@code true} if it will never be run
	 */
	private synchronized boolean giveUpExpired(RequestKey key) {
		long nowMillis = this.clock.millis();
		return this.ledger.find(key)
			.map(LedgerEntry::request)
			.filter((accepted) -> accepted.deadlineMillis() <= nowMillis)
			.filter((accepted) -> this.ledger.cancel(key))
			.isPresent();
	}

	private CompletableFuture<Outcome> future(RequestKey key) {
		return this.waiting.computeIfAbsent(key.toString(), (text) -> new CompletableFuture<>());
	}

	/**
	 * Return the outcome of a key that ended before its waiter was registered.
	 * @param key the key
	 * @return the outcome, if the key has ended
	 */
	private synchronized Optional<Outcome> endedOutcome(RequestKey key) {
		Optional<LedgerEntry> entry = this.ledger.find(key).filter((found) -> found.state().isTerminal());
		entry.ifPresent((found) -> this.waiting.remove(key.toString()));
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
				"the request may have been executed; no answer came"));
	}

	private void startDispatch(KeyedRequest request) {
		record(request.key());
		this.executor.execute(() -> this.dispatcher.run(request, new LedgerTransitions(request.key())));
	}

	private void complete(RequestKey key, Outcome outcome) {
		CompletableFuture<Outcome> pending = this.waiting.remove(key.toString());
		if (pending != null) {
			pending.complete(outcome);
		}
	}

	private void record(RequestKey key) {
		find(key).ifPresent((entry) -> this.records.record(new RequestTransition(key.toString(), entry.account(),
				entry.state().name(), Optional.ofNullable(entry.answer()).map(Answer::status).orElse(0))));
	}

	private void completeEnded(RequestKey key) {
		find(key).filter((entry) -> entry.state().isTerminal()).ifPresent((entry) -> complete(key, outcomeOf(entry)));
	}

	/**
	 * Run a step with the ledger, alone.
	 * @param <T> what the step returns
	 * @param step the step
	 * @return what it returned
	 */
	public synchronized <T> T withLedger(Function<RequestLedger, T> step) {
		return step.apply(this.ledger);
	}

	/**
	 * Stop waiting for outcomes from nodes that have died.
	 */
	public void loseDeadDispatchers() {
		this.membership.members()
			.stream()
			.filter((member) -> !member.isReachable() && !member.node().equals(this.membership.localMember().node()))
			.flatMap((member) -> withLedger((held) -> held.recordDispatcherLost(member.node())).stream())
			.forEach(this::completeEnded);
	}

	/**
	 * Send callers that still wait to the node that took their requests over.
	 * @param successor the successor
	 */
	public void redirectWaiting(Member successor) {
		List.copyOf(this.waiting.keySet()).forEach((key) -> {
			CompletableFuture<Outcome> pending = this.waiting.remove(key);
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
		Outcome outcome = conclude(request, admission);
		if (outcome instanceof Outcome.Answered answered) {
			return answered.answer();
		}
		if (outcome instanceof Outcome.Failed failed) {
			return Exchanges.problemAnswer(failed.failure());
		}
		return Exchanges
			.problemAnswer(Failure.outcomeUnknown(Step.HANDOVER, this.membership.localMember().node().toString(),
					"the request was passed on to another node; ask again with the same key"));
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
		CommitResult result = withLedger((held) -> held.receiveCommit(parts));
		logger.atInfo().log("commit of %d key spaces: %s", parts.size(), result.getClass().getSimpleName());
		if (result instanceof CommitResult.Taken taken) {
			taken.toDispatch().forEach(this::dispatchTakenOver);
		}
		return result;
	}

	@Override
	public void receiveOutcomes(List<KeySpacePart> parts) {
		withLedger((held) -> held.receiveOutcomes(parts)).forEach(this::dispatchTakenOver);
		parts.forEach((part) -> part.entries().forEach((entry) -> completeEnded(entry.key())));
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
	 * The transitions of one key, as its dispatch makes them.
	 */
	private final class LedgerTransitions implements Dispatcher.Transitions {

		private final RequestKey key;

		private LedgerTransitions(RequestKey key) {
			this.key = key;
		}

		@Override
		public boolean startDispatch() {
			boolean mayDispatch = withLedger((held) -> held.startDispatch(this.key));
			if (mayDispatch) {
				record(this.key);
			}
			return mayDispatch;
		}

		@Override
		public void answered(Answer answer) {
			withLedger((held) -> {
				held.recordAnswer(this.key, answer);
				return this.key;
			});
			record(this.key);
			completeEnded(this.key);
		}

		@Override
		public void lost() {
			withLedger((held) -> {
				held.recordUnknown(this.key);
				return this.key;
			});
			record(this.key);
			completeEnded(this.key);
		}

		@Override
		public void notSent() {
			withLedger((held) -> {
				held.recordNotSent(this.key);
				return this.key;
			});
		}

		@Override
		public void giveUp() {
			withLedger((held) -> held.cancel(this.key));
			record(this.key);
			completeEnded(this.key);
		}

	}

}
