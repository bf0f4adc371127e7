package io.flamingogap.gateway.relay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.attempt.Attempt;
import io.flamingogap.core.attempt.DispatchOutcome;
import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.PromptShape;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.RequestKind;
import io.flamingogap.gateway.backends.AnswerListener;
import io.flamingogap.gateway.backends.BackendAnswer;
import io.flamingogap.gateway.backends.BackendCall;
import io.flamingogap.gateway.backends.Dispatch;
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

	/** Plain answers up to this size are held back until they are whole. */
	private static final int MAX_HELD_ANSWER_BYTES = 262_144;

	/** When a caller may come back that found no room at the servers. */
	private static final long RETRY_AFTER_MILLIS = 300;

	/**
	 * The part of the goal after which a silent server of a repeatable request is left.
	 */
	private static final double SILENT_GOAL_PART = 0.6;

	private static final double PERCENT = 100;

	/** Lower urgencies are left for requests that may wait. */
	private static final int LEAST_URGENCY = 9;

	private final RelayParts parts;

	private final CallerRequest request;

	private final CallerExchange exchange;

	private final Attempt attempt;

	private final String service;

	private final Optional<ClientAccount> account;

	private final Hooks hooks;

	private Predicate<KnownServer> versions;

	private final EventSplitter events = new EventSplitter();

	private final long bytes;

	private @Nullable Try current;

	private @Nullable ScheduledFuture<?> deadline;

	private String lastServer = "";

	private boolean startReported;

	private boolean finished;

	RelayedRequest(RelayParts parts, CallerRequest request, CallerExchange exchange, Attempt attempt, String service,
			Optional<ClientAccount> account, Hooks hooks) {
		this.parts = parts;
		this.request = request;
		this.exchange = exchange;
		this.attempt = attempt;
		this.service = service;
		this.account = account;
		this.hooks = hooks;
		this.versions = parts.versions().choose(service, attempt.route());
		this.bytes = request.body().readableBytes();
	}

	private long nowMillis() {
		return this.parts.clock().steadyMillis();
	}

	void start() {
		this.parts.metrics().requestOpened(this.bytes);
		this.parts.demands().opened(this.service, this.request.prompt(), nowMillis());
		this.deadline = this.parts.loop()
			.schedule(this::onDeadline, this.attempt.leftMillis(nowMillis()), TimeUnit.MILLISECONDS);
		dispatch("first");
	}

	private void dispatch(String cause) {
		long nowMillis = nowMillis();
		Optional<KnownServer> server = chooseServer(nowMillis);
		if (server.isEmpty()) {
			fail("no server of " + this.service + " has room (" + cause + ")");
			return;
		}
		if (this.attempt.isNextARetry() && !this.hooks.mayRetry().getAsBoolean()) {
			fail("the retry budget of " + this.service + " is used up (" + cause + ")");
			return;
		}
		this.current = new Try(server.get(), nowMillis);
		this.current.send();
	}

	private Optional<KnownServer> chooseServer(long nowMillis) {
		Predicate<KnownServer> untried = (server) -> !this.attempt.hasTried(server.entry().id());
		return this.parts.selector()
			.choose(this.parts.servers().ofService(this.service), this.request.prompt(), untried.and(this.versions),
					nowMillis);
	}

	private void retryOrFail(DispatchOutcome outcome, String reason) {
		this.attempt.recordOutcome(outcome);
		logger.atInfo().log("%s", line("dispatch failed").with("outcome", outcome.name()).with("reason", reason));
		this.current = null;
		if (this.exchange.hasBegun() && !mayResume()) {
			abort(reason);
		}
		else if (this.attempt.mayTryAnother(nowMillis())) {
			this.events.dropIncomplete();
			this.versions = this.parts.versions().chooseAgain(this.service);
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
		Try open = this.current;
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

	private void finish(String event, int status, String reason) {
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
		this.parts.metrics().recordLatency(this.attempt.route().kind().name(), this.attempt.ageMillis(nowMillis()));
		logger.atInfo().log("%s", line(event).with("status", status).with("reason", reason));
	}

	private LogLine line(String event) {
		return LogLine.of(event)
			.with("request", this.request.attemptId())
			.with("route", this.attempt.route().name())
			.with("service", this.service)
			.with("server", this.lastServer)
			.with("dispatches", this.attempt.dispatches())
			.with("ageMillis", this.attempt.ageMillis(nowMillis()))
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
		Try open = this.current;
		if (open != null && open.call != null) {
			open.call.setReading(true);
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

	/**
	 * One dispatch to one server.
	 */
	private final class Try implements AnswerListener {

		private final KnownServer server;

		private final long sentAtMillis;

		private final long promptTokens;

		private @Nullable BackendCall call;

		private @Nullable BackendAnswer answer;

		private @Nullable ScheduledFuture<?> silence;

		private ByteBuf held = Unpooled.EMPTY_BUFFER;

		private boolean promptRead;

		private boolean closed;

		private Try(KnownServer server, long sentAtMillis) {
			this.server = server;
			this.sentAtMillis = sentAtMillis;
			PromptShape prompt = RelayedRequest.this.request.prompt();
			this.promptTokens = Math.max(0, prompt.promptTokens() - server.prompts().heldTokens(prompt));
		}

		private void send() {
			RelayedRequest outer = RelayedRequest.this;
			outer.attempt.recordDispatch(this.server.entry().id());
			outer.lastServer = this.server.entry().id();
			this.server.load().recordSent(this.promptTokens);
			outer.parts.loads().onChanged(this.server);
			this.server.prompts().record(outer.request.prompt());
			Dispatch dispatch = new Dispatch(outer.request, this.server.entry(),
					outer.attempt.leftMillis(this.sentAtMillis), outer.account.map(ClientAccount::name), urgency(),
					outer.events.lastId());
			logger.atInfo().log("%s", describeChoice(dispatch.leftMillis()));
			boolean repeatable = outer.attempt.route().isRepeatable();
			this.call = outer.parts.pool().send(dispatch, repeatable, this);
			if (outer.attempt.route().kind() == RequestKind.IDEMPOTENT) {
				long patienceMillis = (long) (outer.attempt.route().goalMillis() * SILENT_GOAL_PART);
				this.silence = outer.parts.loop().schedule(this::onSilence, patienceMillis, TimeUnit.MILLISECONDS);
			}
		}

		private LogLine describeChoice(long leftMillis) {
			RelayedRequest outer = RelayedRequest.this;
			return outer.line("dispatched")
				.with("openEstimate", Math.round(this.server.load().estimateOpen(this.sentAtMillis)))
				.with("unreadTokens", this.server.load().estimateUnread(this.sentAtMillis))
				.with("failurePercent", Math.round(PERCENT * this.server.health().failureShare(this.sentAtMillis)))
				.with("doubtful", this.server.isDoubtful())
				.with("leftMillis", leftMillis);
		}

		private int urgency() {
			int priority = RelayedRequest.this.account.flatMap((found) -> found.priority().stream().boxed().findFirst())
				.orElse(RelayedRequest.this.attempt.route().priority());
			return Math.max(0, Math.min(LEAST_URGENCY, priority));
		}

		private void onSilence() {
			if (this.answer == null && !this.closed
					&& RelayedRequest.this.attempt.mayTryAnother(RelayedRequest.this.nowMillis())
					&& RelayedRequest.this.attempt.route().maxServers() > 1) {
				DispatchOutcome outcome = giveUp(DispatchOutcome.SILENT);
				this.server.health().recordFailure(RelayedRequest.this.nowMillis());
				RelayedRequest.this.retryOrFail(outcome, "no answer within the patience for a server");
			}
		}

		/**
		 * Close the connection, so that the server stops, and account for the load.
		 * @param outcome what is known of the run if bytes were sent
		 * @return what is known of the run
		 */
		private DispatchOutcome giveUp(DispatchOutcome outcome) {
			boolean sent = this.call != null && this.call.isSent();
			if (this.call != null && !this.closed) {
				this.call.cancel();
			}
			close();
			return sent ? outcome : DispatchOutcome.NOT_SENT;
		}

		private void close() {
			if (this.closed) {
				return;
			}
			this.closed = true;
			if (this.silence != null) {
				this.silence.cancel(false);
			}
			markPromptRead();
			this.server.load().recordEnd();
			RelayedRequest.this.parts.loads().onChanged(this.server);
			this.held.release();
			this.held = Unpooled.EMPTY_BUFFER;
		}

		private void markPromptRead() {
			if (!this.promptRead) {
				this.promptRead = true;
				this.server.load().recordPromptRead(this.promptTokens);
				RelayedRequest.this.parts.loads().onChanged(this.server);
			}
		}

		@Override
		public void onHead(BackendAnswer head) {
			RelayedRequest outer = RelayedRequest.this;
			this.answer = head;
			head.load()
				.ifPresent(
						(load) -> this.server.load().recordReport(load.running(), load.waiting(), outer.nowMillis()));
			switch (head.verdict()) {
				case REJECTED -> reject(DispatchOutcome.REJECTED, "rejected with " + head.status().code());
				case MISDIRECTED -> {
					outer.parts.servers().remove(this.server.entry().id());
					reject(DispatchOutcome.MISDIRECTED, "another server has the address");
				}
				case UNPROVEN, FOREIGN -> reject(DispatchOutcome.BROKEN, "answer without proof of its origin");
				case ANSWERED -> onAnswered(head);
			}
		}

		private void reject(DispatchOutcome outcome, String reason) {
			giveUp(outcome);
			this.server.health().recordFailure(RelayedRequest.this.nowMillis());
			RelayedRequest.this.parts.versions()
				.record(this.server.entry(), RelayedRequest.this.attempt.route(), outcome.mayHaveRun(), 0);
			RelayedRequest.this.retryOrFail(outcome, reason);
		}

		private void onAnswered(BackendAnswer head) {
			RelayedRequest outer = RelayedRequest.this;
			if (outer.exchange.hasBegun() && head.status().codeClass() != HttpStatusClass.SUCCESS) {
				reject(DispatchOutcome.FAILED, "answered the rest of a stream with " + head.status().code());
				return;
			}
			boolean failed = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
			if (failed && !outer.exchange.hasBegun() && outer.attempt.mayTryAnother(outer.nowMillis())
					&& outer.attempt.route().maxServers() > 1) {
				reject(DispatchOutcome.FAILED, "answered with " + head.status().code());
				return;
			}
			if (!isStreamed()) {
				started(outer.nowMillis() - this.sentAtMillis);
			}
		}

		private void started(long agoMillis) {
			markPromptRead();
			RelayedRequest outer = RelayedRequest.this;
			if (!outer.startReported) {
				outer.startReported = true;
				outer.hooks.starts().onStarted(outer.account, agoMillis);
			}
			outer.parts.metrics().recordLatency("first", outer.attempt.ageMillis(outer.nowMillis()));
		}

		private boolean isStreamed() {
			return RelayedRequest.this.attempt.route().kind() == RequestKind.STREAM && this.answer != null
					&& this.answer.status().codeClass() == HttpStatusClass.SUCCESS;
		}

		@Override
		public void onPiece(ByteBuf piece) {
			if (this.closed) {
				return;
			}
			if (isStreamed()) {
				passOn(RelayedRequest.this.events.add(piece));
			}
			else {
				hold(piece);
			}
		}

		private void passOn(ByteBuf complete) {
			RelayedRequest outer = RelayedRequest.this;
			if (!complete.isReadable()) {
				complete.release();
				return;
			}
			if (!this.promptRead) {
				started(0);
				outer.parts.versions()
					.record(this.server.entry(), outer.attempt.route(), false, outer.nowMillis() - this.sentAtMillis);
			}
			begin();
			outer.exchange.write(complete);
			if (outer.exchange.isCongested() && this.call != null) {
				this.call.setReading(false);
			}
		}

		private void begin() {
			BackendAnswer head = this.answer;
			if (!RelayedRequest.this.exchange.hasBegun() && head != null) {
				RelayedRequest.this.exchange.begin(head.status(), head.headers());
			}
		}

		private void hold(ByteBuf piece) {
			if (this.held.readableBytes() + piece.readableBytes() > MAX_HELD_ANSWER_BYTES) {
				begin();
				RelayedRequest.this.exchange.write(this.held);
				this.held = Unpooled.EMPTY_BUFFER;
				RelayedRequest.this.exchange.write(piece.copy());
			}
			else {
				ByteBuf all = Unpooled.buffer(this.held.readableBytes() + piece.readableBytes());
				all.writeBytes(this.held).writeBytes(piece);
				this.held.release();
				this.held = all;
			}
		}

		@Override
		public void onEnd() {
			if (this.closed) {
				return;
			}
			RelayedRequest outer = RelayedRequest.this;
			BackendAnswer head = this.answer;
			ByteBuf body = this.held;
			this.held = Unpooled.EMPTY_BUFFER;
			boolean failed = head == null || head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
			recordOutcome(failed);
			close();
			if (isStreamed()) {
				ByteBuf rest = outer.events.rest();
				begin();
				if (rest.isReadable()) {
					outer.exchange.write(rest);
				}
			}
			outer.finish("request answered", (head != null) ? head.status().code() : 0, "answered by the server");
			outer.current = null;
			if (outer.exchange.hasBegun()) {
				body.release();
				outer.exchange.end();
			}
			else if (head != null) {
				outer.exchange.respond(head.status(), head.headers(), body);
			}
		}

		private void recordOutcome(boolean failed) {
			RelayedRequest outer = RelayedRequest.this;
			long nowMillis = outer.nowMillis();
			if (failed) {
				this.server.health().recordFailure(nowMillis);
			}
			else {
				this.server.health().recordSuccess(nowMillis);
			}
			if (failed || !isStreamed()) {
				outer.parts.versions()
					.record(this.server.entry(), outer.attempt.route(), failed, nowMillis - this.sentAtMillis);
			}
		}

		@Override
		public void onBroken(String reason) {
			if (this.closed) {
				return;
			}
			close();
			RelayedRequest outer = RelayedRequest.this;
			this.server.health().recordFailure(outer.nowMillis());
			outer.parts.versions()
				.record(this.server.entry(), outer.attempt.route(), true, outer.nowMillis() - this.sentAtMillis);
			outer.retryOrFail(DispatchOutcome.BROKEN, reason);
		}

		@Override
		public void onNotSent(String reason) {
			if (this.closed) {
				return;
			}
			close();
			this.server.health().recordUnreachable(RelayedRequest.this.nowMillis());
			RelayedRequest.this.retryOrFail(DispatchOutcome.NOT_SENT, reason);
		}

	}

}
