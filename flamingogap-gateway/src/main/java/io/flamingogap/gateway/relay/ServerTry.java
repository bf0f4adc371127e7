package io.flamingogap.gateway.relay;

import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.attempt.DispatchOutcome;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.RequestKind;
import io.flamingogap.gateway.backends.ResponseListener;
import io.flamingogap.gateway.backends.BackendCall;
import io.flamingogap.gateway.backends.BackendRequest;
import io.flamingogap.gateway.backends.BackendResponseHead;
import io.flamingogap.gateway.log.LogLine;

/**
 * One dispatch to one server.
 */
final class ServerTry implements ResponseListener {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Plain answers up to this size are held back until they are whole. */
	private static final int MAX_HELD_ANSWER_BYTES = 262_144;

	/**
	 * The part of the goal after which a silent server of a repeatable request is left.
	 */
	private static final double SILENT_GOAL_PART = 0.6;

	private static final double PERCENT = 100;

	/** Lower urgencies are left for requests that may wait. */
	private static final int LEAST_URGENCY = 9;

	private final RelayDependencies parts;

	private final RelayedRequest owner;

	private final KnownServer server;

	private final long sentAtMillis;

	private final long promptTokens;

	private @Nullable BackendCall call;

	private @Nullable BackendResponseHead answer;

	private @Nullable ScheduledFuture<?> silence;

	private ByteBuf held = Unpooled.EMPTY_BUFFER;

	private boolean promptRead;

	private boolean closed;

	ServerTry(RelayDependencies parts, RelayedRequest owner, KnownServer server, long sentAtMillis) {
		this.parts = parts;
		this.owner = owner;
		this.server = server;
		this.sentAtMillis = sentAtMillis;
		PromptMetadata prompt = owner.request().prompt();
		this.promptTokens = Math.max(0, prompt.promptTokens() - server.promptCache().estimateCachedTokens(prompt));
	}

	void send() {
		this.owner.attempt().recordDispatch(this.server.registration().id());
		this.owner.noteServer(this.server.registration().id());
		this.server.load().recordSent(this.promptTokens);
		this.parts.loads().onLoadChanged(this.server);
		this.server.promptCache().record(this.owner.request().prompt());
		BackendRequest dispatch = new BackendRequest(this.owner.request(), this.server.registration(),
				this.owner.attempt().remainingMillis(this.sentAtMillis), this.owner.account().map(ClientAccount::name),
				urgency(), this.owner.events().lastId());
		logger.atInfo().log("%s", describeChoice(dispatch.remainingMillis()));
		boolean repeatable = this.owner.attempt().route().isRepeatable();
		this.call = this.parts.pool().send(dispatch, repeatable, this);
		if (this.owner.attempt().route().kind() == RequestKind.IDEMPOTENT) {
			long patienceMillis = (long) (this.owner.attempt().route().latencyTargetMillis() * SILENT_GOAL_PART);
			this.silence = this.parts.loop().schedule(this::onSilence, patienceMillis, TimeUnit.MILLISECONDS);
		}
	}

	private LogLine describeChoice(long leftMillis) {
		return this.owner.line("dispatched")
			.with("openEstimate", Math.round(this.server.load().estimateOpenRequests(this.sentAtMillis)))
			.with("unreadTokens", this.server.load().estimateUnreadTokens(this.sentAtMillis))
			.with("failurePercent", Math.round(PERCENT * this.server.health().failureShare(this.sentAtMillis)))
			.with("doubtful", this.server.isSuspect())
			.with("leftMillis", leftMillis);
	}

	private int urgency() {
		int priority = this.owner.account()
			.flatMap((found) -> found.priority().stream().boxed().findFirst())
			.orElse(this.owner.attempt().route().priority());
		return Math.max(0, Math.min(LEAST_URGENCY, priority));
	}

	private void onSilence() {
		if (this.answer == null && !this.closed && this.owner.attempt().mayTryAnotherServer(nowMillis())
				&& this.owner.attempt().route().maxServers() > 1) {
			DispatchOutcome outcome = giveUp(DispatchOutcome.SILENT);
			this.server.health().recordFailure(nowMillis());
			this.owner.retryOrFail(outcome, "no answer within the patience for a server");
		}
	}

	/**
	 * Close the connection, so that the server stops, and account for the load.
	 * @param outcome what is known of the run if bytes were sent
	 * @return what is known of the run
	 */
	DispatchOutcome giveUp(DispatchOutcome outcome) {
		boolean sent = this.call != null && this.call.mayHaveBeenSent();
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
		this.parts.loads().onLoadChanged(this.server);
		this.held.release();
		this.held = Unpooled.EMPTY_BUFFER;
	}

	private void markPromptRead() {
		if (!this.promptRead) {
			this.promptRead = true;
			this.server.load().recordPromptRead(this.promptTokens);
			this.parts.loads().onLoadChanged(this.server);
		}
	}

	/**
	 * The caller reads again.
	 */
	void resumeReading() {
		if (this.call != null) {
			this.call.setAutoRead(true);
		}
	}

	private long nowMillis() {
		return this.parts.clock().steadyMillis();
	}

	@Override
	public void onHead(BackendResponseHead head) {
		this.answer = head;
		head.load()
			.ifPresent((load) -> this.server.load()
				.recordReport(load.runningRequests(), load.queuedRequests(), nowMillis()));
		switch (head.verdict()) {
			case REJECTED -> reject(DispatchOutcome.REJECTED, "rejected with " + head.status().code());
			case MISDIRECTED -> {
				this.parts.servers().remove(this.server.registration().id());
				reject(DispatchOutcome.MISDIRECTED, "another server has the address");
			}
			case UNVERIFIED, ATTEMPT_MISMATCH -> reject(DispatchOutcome.BROKEN, "answer without proof of its origin");
			case ANSWERED -> onAnswered(head);
		}
	}

	private void reject(DispatchOutcome outcome, String reason) {
		giveUp(outcome);
		this.server.health().recordFailure(nowMillis());
		this.parts.versions().record(this.server.registration(), this.owner.attempt().route(), outcome.mayHaveRun(), 0);
		this.owner.retryOrFail(outcome, reason);
	}

	private void onAnswered(BackendResponseHead head) {
		if (this.owner.exchange().hasBegun() && head.status().codeClass() != HttpStatusClass.SUCCESS) {
			reject(DispatchOutcome.FAILED, "answered the rest of a stream with " + head.status().code());
			return;
		}
		boolean failed = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
		if (failed && !this.owner.exchange().hasBegun() && this.owner.attempt().mayTryAnotherServer(nowMillis())
				&& this.owner.attempt().route().maxServers() > 1) {
			reject(DispatchOutcome.FAILED, "answered with " + head.status().code());
			return;
		}
		if (!isStreamed()) {
			started(nowMillis() - this.sentAtMillis);
		}
	}

	private void started(long agoMillis) {
		markPromptRead();
		this.owner.reportStart(agoMillis);
		this.parts.metrics().recordLatency("first", this.owner.attempt().elapsedMillis(nowMillis()));
	}

	private boolean isStreamed() {
		return this.owner.attempt().route().kind() == RequestKind.STREAM && this.answer != null
				&& this.answer.status().codeClass() == HttpStatusClass.SUCCESS;
	}

	@Override
	public void onBody(ByteBuf piece) {
		if (this.closed) {
			return;
		}
		if (isStreamed()) {
			passOn(this.owner.events().add(piece));
		}
		else {
			hold(piece);
		}
	}

	private void passOn(ByteBuf complete) {
		if (!complete.isReadable()) {
			complete.release();
			return;
		}
		if (!this.promptRead) {
			started(0);
			this.parts.versions()
				.record(this.server.registration(), this.owner.attempt().route(), false,
						nowMillis() - this.sentAtMillis);
		}
		begin();
		this.owner.exchange().write(complete);
		if (this.owner.exchange().isCongested() && this.call != null) {
			this.call.setAutoRead(false);
		}
	}

	private void begin() {
		BackendResponseHead head = this.answer;
		if (!this.owner.exchange().hasBegun() && head != null) {
			this.owner.exchange().begin(head.status(), head.headers());
		}
	}

	private void hold(ByteBuf piece) {
		if (this.held.readableBytes() + piece.readableBytes() > MAX_HELD_ANSWER_BYTES) {
			begin();
			this.owner.exchange().write(this.held);
			this.held = Unpooled.EMPTY_BUFFER;
			this.owner.exchange().write(piece.copy());
		}
		else {
			ByteBuf all = Unpooled.buffer(this.held.readableBytes() + piece.readableBytes());
			all.writeBytes(this.held).writeBytes(piece);
			this.held.release();
			this.held = all;
		}
	}

	@Override
	public void onComplete() {
		if (this.closed) {
			return;
		}
		BackendResponseHead head = this.answer;
		ByteBuf body = this.held;
		this.held = Unpooled.EMPTY_BUFFER;
		boolean failed = head == null || head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
		recordOutcome(failed);
		close();
		if (isStreamed()) {
			ByteBuf rest = this.owner.events().rest();
			begin();
			if (rest.isReadable()) {
				this.owner.exchange().write(rest);
			}
		}
		this.owner.finish("request answered", (head != null) ? head.status().code() : 0, "answered by the server");
		this.owner.tryEnded();
		if (this.owner.exchange().hasBegun()) {
			body.release();
			this.owner.exchange().end();
		}
		else if (head != null) {
			this.owner.exchange().respond(head.status(), head.headers(), body);
		}
	}

	private void recordOutcome(boolean failed) {
		long nowMillis = nowMillis();
		if (failed) {
			this.server.health().recordFailure(nowMillis);
		}
		else {
			this.server.health().recordSuccess(nowMillis);
		}
		if (failed || !isStreamed()) {
			this.parts.versions()
				.record(this.server.registration(), this.owner.attempt().route(), failed,
						nowMillis - this.sentAtMillis);
		}
	}

	@Override
	public void onFailure(String reason) {
		if (this.closed) {
			return;
		}
		close();
		this.server.health().recordFailure(nowMillis());
		this.parts.versions()
			.record(this.server.registration(), this.owner.attempt().route(), true, nowMillis() - this.sentAtMillis);
		this.owner.retryOrFail(DispatchOutcome.BROKEN, reason);
	}

	@Override
	public void onNotSent(String reason) {
		if (this.closed) {
			return;
		}
		close();
		this.server.health().recordUnreachable(nowMillis());
		this.owner.retryOrFail(DispatchOutcome.NOT_SENT, reason);
	}

}
