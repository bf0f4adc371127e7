package io.flamingogap.gateway.relay;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.attempt.Attempt;
import io.flamingogap.core.attempt.DispatchOutcome;
import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.PromptPart;
import io.flamingogap.core.servers.RequestNeeds;
import io.flamingogap.core.servers.ReturnTime;
import io.flamingogap.core.servers.ServerChoice;
import io.flamingogap.core.servers.ServicePace;
import io.flamingogap.core.servers.WaitBound;
import io.flamingogap.core.serving.BackendService;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.EngineProfile;
import io.flamingogap.gateway.callers.CallerConnectionListener;
import io.flamingogap.gateway.callers.CallerExchange;
import io.flamingogap.gateway.callers.CallerRequest;
import io.flamingogap.gateway.log.LogLine;

/**
 * Relays one admitted request, from its first dispatch to the end of the response. The
 * {@link Attempt} decides whether another server may be tried; this class carries out its
 * decisions.
 */
final class RelayedRequest implements CallerConnectionListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The reason of a failure because the request was quarantined. */
	static final String QUARANTINED = "the request, or a part of its prompt, crashes servers";

	/**
	 * The least urgent rank that is sent; 0 is served first. Values above this one are
	 * reserved for requests that may wait.
	 */
	private static final int LOWEST_URGENCY = 9;

	private final RelayDependencies dependencies;

	private final CallerRequest request;

	private final CallerExchange callerExchange;

	private final Attempt attempt;

	private final String service;

	private final Optional<ClientAccount> account;

	private final GuardedRequest guardedRequest;

	private final Callbacks callbacks;

	private Predicate<KnownServer> versionFilter;

	private final EventSplitter eventSplitter = new EventSplitter();

	private final long bodyBytes;

	private @Nullable BackendDispatch currentDispatch;

	private @Nullable ScheduledFuture<?> deadlineTimer;

	private String lastServerId = "";

	private boolean startReported;

	private boolean finished;

	RelayedRequest(RelayDependencies dependencies, CallerRequest request, CallerExchange callerExchange,
			Attempt attempt, GuardedRequest guardedRequest, Optional<ClientAccount> account, Callbacks callbacks) {
		this.dependencies = dependencies;
		this.request = request;
		this.callerExchange = callerExchange;
		this.attempt = attempt;
		this.service = guardedRequest.service();
		this.guardedRequest = guardedRequest;
		this.account = account;
		this.callbacks = callbacks;
		this.versionFilter = dependencies.versionSelector().versionFilter(this.service, attempt.route());
		this.bodyBytes = request.body().readableBytes();
	}

	private long nowMillis() {
		return this.dependencies.clock().steadyMillis();
	}

	void start() {
		this.dependencies.metrics().requestOpened(this.bodyBytes);
		pace().urgencyMix().record(urgency(), nowMillis());
		this.dependencies.demandTracker().requestOpened(this.service, this.request.prompt(), nowMillis());
		this.deadlineTimer = this.dependencies.eventLoop()
			.schedule(this::onDeadline, this.attempt.remainingMillis(nowMillis()), TimeUnit.MILLISECONDS);
		dispatch("first dispatch");
	}

	private void dispatch(String cause) {
		if (isQuarantined()) {
			fail(QUARANTINED + " (" + cause + ")");
			return;
		}
		long nowMillis = nowMillis();
		ensureVersionIsPlaced();
		Optional<ServerChoice> choice = selectServer(nowMillis);
		if (choice.isEmpty()) {
			boolean isPlaced = this.dependencies.servers().ofService(this.service).stream().anyMatch(placementFilter());
			if (!isPlaced) {
				this.dependencies.metrics().increment("unplaced.503");
			}
			fail("no server of service " + this.service + " can take the request"
					+ (isPlaced ? "" : ", as none is in an allowed region and outside evacuated zones") + " (" + cause
					+ ")");
			return;
		}
		if (isWaitTooLong(choice.get(), nowMillis)) {
			refuseForWait(choice.get(), cause, nowMillis);
			return;
		}
		if (this.attempt.isNextDispatchRetry() && !this.callbacks.trySpendRetry().getAsBoolean()) {
			fail("the retry budget of service " + this.service + " is used up (" + cause + ")");
			return;
		}
		engine().ifPresent((engine) -> choice.get().server().promptCache().setMemoryTokens(engine.cacheTokens()));
		this.currentDispatch = new BackendDispatch(this.dependencies, this, choice.get(), nowMillis);
		this.currentDispatch.send();
	}

	/**
	 * Return whether the request was quarantined since the request was admitted.
	 * @return {@code true} if no server may be sent the request
	 */
	boolean isQuarantined() {
		return this.dependencies.requestGuard().isQuarantined(this.guardedRequest);
	}

	private Optional<ServerChoice> selectServer(long nowMillis) {
		Predicate<KnownServer> untried = (server) -> !this.attempt.hasTried(server.registration().id());
		return this.dependencies.serverSelector()
			.choose(this.dependencies.servers().ofService(this.service), needs(), pace(),
					untried.and(this.versionFilter).and(placementFilter()).and(mayBeSentNow(nowMillis)), nowMillis);
	}

	/**
	 * Use the version for retries if the chosen one has no server where the request may
	 * be processed.
	 */
	private void ensureVersionIsPlaced() {
		List<KnownServer> servers = this.dependencies.servers().ofService(this.service);
		Predicate<KnownServer> placed = placementFilter().and(KnownServer::takesRequests);
		if (servers.stream().anyMatch(this.versionFilter.and(KnownServer::takesRequests))
				&& servers.stream().noneMatch(this.versionFilter.and(placed))) {
			this.versionFilter = this.dependencies.versionSelector().versionFilterForRetry(this.service);
		}
	}

	private Predicate<KnownServer> placementFilter() {
		return this.dependencies.placementRules()
			.serversFor(this.dependencies.config().current(), this.attempt.route(), this.account);
	}

	/**
	 * Return whether the request may be sent to a server, by the configuration and the
	 * evacuations in force.
	 * @param server the server
	 * @return {@code false} if the server is in a region that the request must not reach
	 * or in an evacuated zone
	 */
	boolean mayBePlacedOn(KnownServer server) {
		return placementFilter().test(server);
	}

	private Predicate<KnownServer> mayBeSentNow(long nowMillis) {
		ColdStartGate gate = this.dependencies.coldStartGate();
		int rank = urgency();
		return gate.concerns(this.service) ? (server) -> gate.mayBeChosen(server.registration(), rank, nowMillis)
				: (server) -> true;
	}

	private boolean isWaitTooLong(ServerChoice choice, long nowMillis) {
		return !this.attempt.mayHaveRun() && !this.callerExchange.hasResponseBegun() && waitBound(nowMillis)
			.isExceeded(choice.delay(), pace().predictionError().ratio(), shareMoreUrgent(nowMillis));
	}

	private void refuseForWait(ServerChoice choice, String cause, long nowMillis) {
		double expectedMillis = choice.delay().firstTokenMillis() * pace().predictionError().ratio();
		WaitBound bound = waitBound(nowMillis);
		this.dependencies.metrics().increment("refused.wait." + urgency());
		logger.atInfo()
			.log("%s",
					logLine("wait too long").with("bestServer", choice.server().registration().id())
						.with("expectedMillis", Math.round(expectedMillis))
						.with("waitMillis", Math.round(choice.delay().waitMillis()))
						.with("limitMillis", Math.round(bound.limitMillis(shareMoreUrgent(nowMillis))))
						.with("urgency", urgency()));
		fail("the first token is expected after " + Math.round(expectedMillis) + " ms (" + cause + ")",
				ReturnTime.whenQueueIsLong(expectedMillis, bound, shareMoreUrgent(nowMillis),
						this.dependencies.random().nextDouble()));
	}

	private WaitBound waitBound(long nowMillis) {
		return new WaitBound(this.attempt.route().latencyTargetMillis(), this.attempt.elapsedMillis(nowMillis),
				this.attempt.remainingMillis(nowMillis));
	}

	private double shareMoreUrgent(long nowMillis) {
		return pace().urgencyMix().shareMoreUrgentThan(urgency(), nowMillis);
	}

	private ServicePace pace() {
		return this.dependencies.servers().paceOf(this.service);
	}

	private Optional<EngineProfile> engine() {
		return this.dependencies.config()
			.current()
			.flatMap((config) -> config.findService(this.service))
			.flatMap(BackendService::engine);
	}

	private RequestNeeds needs() {
		return new RequestNeeds(this.request.prompt(), urgency(), this.attempt.route().isRepeatable());
	}

	/**
	 * Return the rank of the request: that of its account, or else that of its route.
	 * @return a number from 0, the most urgent, to {@value #LOWEST_URGENCY}
	 */
	int urgency() {
		int priority = this.account.flatMap((found) -> found.priority().stream().boxed().findFirst())
			.orElse(this.attempt.route().priority());
		return Math.max(0, Math.min(LOWEST_URGENCY, priority));
	}

	void retryOrFail(DispatchOutcome outcome, String reason) {
		this.attempt.recordOutcome(outcome);
		logger.atInfo().log("%s", failureLogLine(outcome, reason));
		this.currentDispatch = null;
		if (this.callerExchange.hasResponseBegun() && !canResume()) {
			abort(reason);
		}
		else if (this.attempt.mayTryAnotherServer(nowMillis()) && !mayHaveCrashedServers(outcome)) {
			this.eventSplitter.discardIncomplete();
			this.versionFilter = this.dependencies.versionSelector().versionFilterForRetry(this.service);
			dispatch("after " + outcome + ": " + reason);
		}
		else {
			fail(reason);
		}
	}

	private boolean mayHaveCrashedServers(DispatchOutcome outcome) {
		return outcome == DispatchOutcome.BROKEN
				&& this.dependencies.requestGuard().isNearlyQuarantined(this.guardedRequest);
	}

	private LogLine failureLogLine(DispatchOutcome outcome, String reason) {
		LogLine line = logLine("dispatch failed").with("outcome", outcome.name()).with("reason", reason);
		List<PromptPart> sharedParts = this.request.prompt().sharedPrefix();
		return sharedParts.isEmpty() ? line
				: line.with("begun", this.currentDispatch != null && this.currentDispatch.hasBegun())
					.with("sharedParts", sharedParts.stream().map(PromptPart::id).collect(Collectors.joining(",")));
	}

	private boolean canResume() {
		return this.attempt.route().resumable() && this.eventSplitter.lastEventId().isPresent();
	}

	private void onDeadline() {
		cancelCurrentDispatch();
		fail("no complete response before the deadline, " + this.attempt.elapsedMillis(nowMillis())
				+ " ms after the request was admitted");
	}

	/**
	 * End the request, since the process ends.
	 */
	void endWithProcess() {
		if (!this.finished) {
			cancelCurrentDispatch();
			fail("the node ends before the request, " + this.attempt.elapsedMillis(nowMillis())
					+ " ms after the request was admitted");
		}
	}

	private void cancelCurrentDispatch() {
		BackendDispatch running = this.currentDispatch;
		if (running != null) {
			this.attempt.recordOutcome(running.cancel(DispatchOutcome.SILENT));
			this.currentDispatch = null;
		}
	}

	private void fail(String reason) {
		fail(reason, returnMillis());
	}

	private void fail(String reason, long returnMillis) {
		if (this.finished) {
			return;
		}
		if (this.callerExchange.hasResponseBegun()) {
			abort(reason);
			return;
		}
		Failure failure = this.attempt.failure(reason, nowMillis());
		boolean notRun = failure.execution() == Execution.NOT_RUN;
		finish("request failed", failure.type().status(), reason);
		this.callerExchange.fail(failure, notRun ? returnMillis : -1);
	}

	private long returnMillis() {
		List<KnownServer> placed = this.dependencies.servers()
			.ofService(this.service)
			.stream()
			.filter(placementFilter())
			.toList();
		return ReturnTime.whenNoServer(placed, this.dependencies.random().nextDouble(), nowMillis());
	}

	private void abort(String reason) {
		finish("answer broken off", 0, reason);
		this.callerExchange.abort();
	}

	/**
	 * Finish the request: release its body, count it, and log the result.
	 * @param event the event name of the log line
	 * @param status the HTTP status of the response, used in the log line and in the name
	 * of the counter; 0 if no response was completed
	 * @param reason the reason field of the log line
	 */
	void finish(String event, int status, String reason) {
		this.finished = true;
		this.callbacks.finishListener().accept(this);
		if (this.deadlineTimer != null) {
			this.deadlineTimer.cancel(false);
		}
		this.request.body().release();
		this.dependencies.metrics().requestClosed(this.bodyBytes);
		this.dependencies.demandTracker().requestClosed(this.service);
		if (!this.attempt.mayHaveRun()) {
			this.callbacks.refund().run();
		}
		this.dependencies.metrics().increment("answered." + status);
		this.dependencies.metrics()
			.recordLatency(this.attempt.route().kind().name(), this.attempt.elapsedMillis(nowMillis()));
		logger.atInfo().log("%s", logLine(event).with("status", status).with("reason", reason));
	}

	LogLine logLine(String event) {
		return LogLine.of(event)
			.with("request", this.request.attemptId())
			.with("route", this.attempt.route().name())
			.with("service", this.service)
			.with("server", this.lastServerId)
			.with("dispatches", this.attempt.dispatchCount())
			.with("ageMillis", this.attempt.elapsedMillis(nowMillis()))
			.with("configVersion", this.dependencies.config().current().map((config) -> config.version()).orElse(-1L));
	}

	@Override
	public void onCallerDisconnected() {
		if (this.finished) {
			return;
		}
		cancelCurrentDispatch();
		finish("caller left", 0, "connection closed by the caller");
	}

	@Override
	public void onCallerWritable() {
		BackendDispatch running = this.currentDispatch;
		if (running != null) {
			running.resumeReading();
		}
	}

	CallerRequest request() {
		return this.request;
	}

	GuardedRequest guardedRequest() {
		return this.guardedRequest;
	}

	CallerExchange callerExchange() {
		return this.callerExchange;
	}

	Attempt attempt() {
		return this.attempt;
	}

	Optional<ClientAccount> account() {
		return this.account;
	}

	EventSplitter eventSplitter() {
		return this.eventSplitter;
	}

	void setLastServerId(String serverId) {
		this.lastServerId = serverId;
	}

	void clearCurrentDispatch() {
		this.currentDispatch = null;
	}

	/**
	 * Report that a server began to process the request. Only the first report counts.
	 * @param millisSinceStart how long ago the server began, in milliseconds
	 */
	void reportStart(long millisSinceStart) {
		if (!this.startReported) {
			this.startReported = true;
			this.callbacks.startListener().onRequestStarted(this.account, millisSinceStart);
		}
	}

	/**
	 * Callbacks from a request to the relay.
	 *
	 * @param trySpendRetry spends a retry from the budget of the service; {@code false}
	 * if the budget is used up
	 * @param refund returns the request's quota units to the account
	 * @param startListener notified when a server begins to process the request
	 * @param finishListener notified when the request has ended
	 */
	record Callbacks(BooleanSupplier trySpendRetry, Runnable refund, RequestRelay.RequestStartListener startListener,
			Consumer<RelayedRequest> finishListener) {
	}

}
