package io.flamingogap.gateway.relay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.attempt.Attempt;
import io.flamingogap.core.attempt.DispatchOutcome;
import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.gateway.callers.CallerExchange;
import io.flamingogap.gateway.callers.CallerRequest;
import io.flamingogap.gateway.callers.OpenRequest;
import io.flamingogap.gateway.log.LogLine;

/**
 * One admitted request, from its first dispatch to its answer. The {@link Attempt}
 * decides; this class carries out.
 */
final class RelayedRequest implements OpenRequest {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** When a caller may come back that found no room at the servers. */
	private static final long RETRY_AFTER_MILLIS = 300;

	private final RelayDependencies parts;

	private final CallerRequest request;

	private final CallerExchange exchange;

	private final Attempt attempt;

	private final String service;

	private final Optional<ClientAccount> account;

	private final Hooks hooks;

	private Predicate<KnownServer> versions;

	private final EventSplitter events = new EventSplitter();

	private final long bytes;

	private @Nullable ServerTry current;

	private @Nullable ScheduledFuture<?> deadline;

	private String lastServer = "";

	private boolean startReported;

	private boolean finished;

	RelayedRequest(RelayDependencies parts, CallerRequest request, CallerExchange exchange, Attempt attempt,
			String service, Optional<ClientAccount> account, Hooks hooks) {
		this.parts = parts;
		this.request = request;
		this.exchange = exchange;
		this.attempt = attempt;
		this.service = service;
		this.account = account;
		this.hooks = hooks;
		this.versions = parts.versions().selectVersions(service, attempt.route());
		this.bytes = request.body().readableBytes();
	}

	private long nowMillis() {
		return this.parts.clock().steadyMillis();
	}

	void start() {
		this.parts.metrics().requestOpened(this.bytes);
		this.parts.demands().opened(this.service, this.request.prompt(), nowMillis());
		this.deadline = this.parts.loop()
			.schedule(this::onDeadline, this.attempt.remainingMillis(nowMillis()), TimeUnit.MILLISECONDS);
		dispatch("first");
	}

	private void dispatch(String cause) {
		long nowMillis = nowMillis();
		Optional<KnownServer> server = chooseServer(nowMillis);
		if (server.isEmpty()) {
			fail("no server of " + this.service + " has room (" + cause + ")");
			return;
		}
		if (this.attempt.isNextDispatchRetry() && !this.hooks.mayRetry().getAsBoolean()) {
			fail("the retry budget of " + this.service + " is used up (" + cause + ")");
			return;
		}
		this.current = new ServerTry(this.parts, this, server.get(), nowMillis);
		this.current.send();
	}

	private Optional<KnownServer> chooseServer(long nowMillis) {
		Predicate<KnownServer> untried = (server) -> !this.attempt.hasTried(server.registration().id());
		return this.parts.selector()
			.choose(this.parts.servers().ofService(this.service), this.request.prompt(), untried.and(this.versions),
					nowMillis);
	}

	void retryOrFail(DispatchOutcome outcome, String reason) {
		this.attempt.recordOutcome(outcome);
		logger.atInfo().log("%s", line("dispatch failed").with("outcome", outcome.name()).with("reason", reason));
		this.current = null;
		if (this.exchange.hasBegun() && !mayResume()) {
			abort(reason);
		}
		else if (this.attempt.mayTryAnotherServer(nowMillis())) {
			this.events.dropIncomplete();
			this.versions = this.parts.versions().selectVersionsForRetry(this.service);
			dispatch(outcome + ": " + reason);
		}
		else {
			fail(reason);
		}
	}

	private boolean mayResume() {
		return this.attempt.route().resumable() && this.events.lastId().isPresent();
	}

	private void onDeadline() {
		giveUpCurrent();
		fail("no answer in time");
	}

	private void giveUpCurrent() {
		ServerTry open = this.current;
		if (open != null) {
			this.attempt.recordOutcome(open.giveUp(DispatchOutcome.SILENT));
			this.current = null;
		}
	}

	private void fail(String reason) {
		if (this.finished) {
			return;
		}
		if (this.exchange.hasBegun()) {
			abort(reason);
			return;
		}
		Failure failure = this.attempt.failure(reason, nowMillis());
		boolean refused = failure.execution() == Execution.NOT_RUN;
		finish("request failed", failure.type().status(), reason);
		this.exchange.fail(failure, refused ? RETRY_AFTER_MILLIS : -1);
	}

	private void abort(String reason) {
		finish("answer broken off", 0, reason);
		this.exchange.abort();
	}

	void finish(String event, int status, String reason) {
		this.finished = true;
		if (this.deadline != null) {
			this.deadline.cancel(false);
		}
		this.request.body().release();
		this.parts.metrics().requestClosed(this.bytes);
		this.parts.demands().closed(this.service);
		if (!this.attempt.mayHaveRun()) {
			this.hooks.refund().run();
		}
		this.parts.metrics().count("answered." + status);
		this.parts.metrics().recordLatency(this.attempt.route().kind().name(), this.attempt.elapsedMillis(nowMillis()));
		logger.atInfo().log("%s", line(event).with("status", status).with("reason", reason));
	}

	LogLine line(String event) {
		return LogLine.of(event)
			.with("request", this.request.attemptId())
			.with("route", this.attempt.route().name())
			.with("service", this.service)
			.with("server", this.lastServer)
			.with("dispatches", this.attempt.dispatchCount())
			.with("ageMillis", this.attempt.elapsedMillis(nowMillis()))
			.with("configVersion", this.parts.config().current().map((held) -> held.version()).orElse(-1L));
	}

	@Override
	public void callerLeft() {
		if (this.finished) {
			return;
		}
		giveUpCurrent();
		finish("caller left", 0, "connection closed by the caller");
	}

	@Override
	public void callerReads() {
		ServerTry open = this.current;
		if (open != null) {
			open.resumeReading();
		}
	}

	CallerRequest request() {
		return this.request;
	}

	CallerExchange exchange() {
		return this.exchange;
	}

	Attempt attempt() {
		return this.attempt;
	}

	Optional<ClientAccount> account() {
		return this.account;
	}

	EventSplitter events() {
		return this.events;
	}

	void noteServer(String server) {
		this.lastServer = server;
	}

	void tryEnded() {
		this.current = null;
	}

	/**
	 * A server began the request; only the first one counts.
	 * @param agoMillis how long ago it began
	 */
	void reportStart(long agoMillis) {
		if (!this.startReported) {
			this.startReported = true;
			this.hooks.starts().onStarted(this.account, agoMillis);
		}
	}

	/**
	 * What a request needs of the relay.
	 *
	 * @param mayRetry spends a retry if the budget of the service allows one
	 * @param refund gives back what the request was charged
	 * @param starts hears that a server began the request
	 */
	record Hooks(BooleanSupplier mayRetry, Runnable refund, RequestRelay.StartListener starts) {
	}

}
