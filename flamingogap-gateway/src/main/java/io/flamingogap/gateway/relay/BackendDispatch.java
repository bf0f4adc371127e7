package io.flamingogap.gateway.relay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.attempt.DispatchOutcome;
import io.flamingogap.core.limits.HeldBytes;
import io.flamingogap.core.servers.CacheOutcome;
import io.flamingogap.core.servers.ColdStartLimiter.Permit;
import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerChoice;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.RequestKind;
import io.flamingogap.gateway.backends.BackendCall;
import io.flamingogap.gateway.backends.BackendRequest;
import io.flamingogap.gateway.backends.BackendResponseHead;
import io.flamingogap.gateway.backends.ResponseListener;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.memory.BytesHolder;

/**
 * Sends a request to one backend server and forwards the response to the caller, or asks
 * the {@link RelayedRequest} to retry.
 */
final class BackendDispatch implements ResponseListener, BytesHolder {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Plain responses up to this size are buffered until they are complete. */
	private static final int MAX_BUFFERED_BODY_BYTES = 262_144;

	/** A stream is broken off if an event is longer. */
	private static final int MAX_EVENT_BYTES = 262_144;

	/**
	 * The fraction of the route's latency target after which an idempotent request is
	 * cancelled at a server that has sent no response head.
	 */
	private static final double SILENCE_TIMEOUT_FRACTION = 0.6;

	private static final double PERCENT = 100;

	private final RelayDependencies dependencies;

	private final RelayedRequest relayedRequest;

	private final ServerChoice choice;

	private final KnownServer server;

	private final long sentAtMillis;

	private final DispatchedPrompt prompt;

	private final AnswerProgress progress;

	private DispatchObservation observation = DispatchObservation.NONE;

	private @Nullable BackendCall call;

	private @Nullable BackendResponseHead responseHead;

	private @Nullable ScheduledFuture<?> silenceTimer;

	private ByteBuf bufferedBody = Unpooled.EMPTY_BUFFER;

	private Permit coldStartPermit = Permit.NOT_NEEDED;

	private boolean closed;

	BackendDispatch(RelayDependencies dependencies, RelayedRequest relayedRequest, ServerChoice choice,
			long sentAtMillis) {
		this.dependencies = dependencies;
		this.relayedRequest = relayedRequest;
		this.choice = choice;
		this.server = choice.server();
		this.sentAtMillis = sentAtMillis;
		this.prompt = new DispatchedPrompt(choice, relayedRequest.request().prompt(),
				dependencies.servers().paceOf(choice.server().registration().service()), dependencies.loadListener(),
				sentAtMillis);
		this.progress = new AnswerProgress(dependencies.requestGuard(), this.server.registration(),
				relayedRequest.guardedRequest(), this::onQuarantined);
	}

	void send() {
		this.relayedRequest.attempt().recordDispatch(this.server.registration().id());
		this.relayedRequest.setLastServerId(this.server.registration().id());
		this.prompt.recordSent();
		this.progress.recordDispatch();
		this.observation = this.dependencies.versionSelector()
			.observe(this.server.registration(), this.relayedRequest.attempt().route(), this.sentAtMillis);
		BackendRequest request = new BackendRequest(this.relayedRequest.request(), this.server.registration(),
				this.relayedRequest.attempt().remainingMillis(this.sentAtMillis),
				this.relayedRequest.account().map(ClientAccount::name), this.relayedRequest.urgency(),
				this.relayedRequest.eventSplitter().lastEventId());
		logger.atInfo().log("%s", dispatchLogLine(request.remainingMillis()));
		boolean repeatable = this.relayedRequest.attempt().route().isRepeatable();
		this.call = this.dependencies.connectionPool().send(request, repeatable, this);
		if (this.relayedRequest.attempt().route().kind() == RequestKind.IDEMPOTENT) {
			long silenceTimeoutMillis = (long) (this.relayedRequest.attempt().route().latencyTargetMillis()
					* SILENCE_TIMEOUT_FRACTION);
			this.silenceTimer = this.dependencies.eventLoop()
				.schedule(this::onSilenceTimeout, silenceTimeoutMillis, TimeUnit.MILLISECONDS);
		}
	}

	private LogLine dispatchLogLine(long remainingMillis) {
		return this.relayedRequest.logLine("dispatched")
			.with("openEstimate", Math.round(this.server.load().estimateOpenRequests(this.sentAtMillis)))
			.with("expectedMillis", Math.round(this.choice.delay().firstTokenMillis()))
			.with("cachedTokens", Math.round(this.choice.cachedTokens()))
			.with("slownessPercent", Math.round(PERCENT * this.server.slowness().factor(this.sentAtMillis)))
			.with("unreadTokens", this.server.load().estimateUnreadTokens(this.sentAtMillis))
			.with("failurePercent", Math.round(PERCENT * this.server.health().failureShare(this.sentAtMillis)))
			.with("doubtful", this.server.isSuspect())
			.with("leftMillis", remainingMillis);
	}

	private void onSilenceTimeout() {
		if (this.responseHead == null && !this.closed && this.relayedRequest.attempt().mayTryAnotherServer(nowMillis())
				&& this.relayedRequest.attempt().route().maxExecutions() > 1) {
			DispatchOutcome outcome = cancel(DispatchOutcome.SILENT);
			this.server.health().recordFailure(nowMillis());
			if (outcome.mayHaveRun()) {
				this.observation.onFailure(nowMillis());
			}
			this.relayedRequest.retryOrFail(outcome,
					"no response head within " + (nowMillis() - this.sentAtMillis) + " ms");
		}
	}

	private void onQuarantined() {
		if (!this.closed) {
			this.relayedRequest.retryOrFail(cancel(DispatchOutcome.BROKEN), RelayedRequest.QUARANTINED);
		}
	}

	/**
	 * Cancel the dispatch. Closes the connection, so that the server stops processing,
	 * and subtracts the request from this node's load at the server. Has no effect if the
	 * dispatch has ended.
	 * @param outcome the outcome to return if bytes may have been sent
	 * @return {@code outcome}, or {@link DispatchOutcome#NOT_SENT} if no byte was sent
	 */
	DispatchOutcome cancel(DispatchOutcome outcome) {
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
		if (this.silenceTimer != null) {
			this.silenceTimer.cancel(false);
		}
		this.observation.discard();
		this.progress.settle();
		this.prompt.recordEnd();
		this.bufferedBody.release();
		this.bufferedBody = Unpooled.EMPTY_BUFFER;
		this.relayedRequest.callerExchange().flush();
		this.dependencies.answerMemory().set(this, HeldBytes.Kind.INCOMPLETE, 0);
	}

	/**
	 * Resume reading the response after it was paused because the caller read too slowly.
	 */
	void resumeReading() {
		if (this.call != null) {
			this.call.setAutoRead(true);
		}
	}

	/**
	 * Return whether the server has sent events of its answer.
	 * @return {@code false} before the first one
	 */
	boolean hasBegun() {
		return this.progress.hasBegun();
	}

	private long nowMillis() {
		return this.dependencies.clock().steadyMillis();
	}

	@Override
	public boolean maySend() {
		if (this.relayedRequest.isQuarantined()) {
			close();
			this.relayedRequest.retryOrFail(DispatchOutcome.NOT_SENT, RelayedRequest.QUARANTINED);
			return false;
		}
		if (this.relayedRequest.attempt().remainingMillis(nowMillis()) == 0) {
			close();
			this.relayedRequest.retryOrFail(DispatchOutcome.NOT_SENT,
					"the deadline passed while the connection was opened");
			return false;
		}
		String cause = "cold";
		if (!this.relayedRequest.mayBePlacedOn(this.server)) {
			cause = "barred";
		}
		else if (!this.server.mayBeSentRequests(nowMillis())) {
			cause = this.server.takesRequests() ? "paused" : "departed";
		}
		else {
			Optional<Permit> permit = this.dependencies.coldStartGate()
				.admit(this.server.registration(), this.relayedRequest.urgency(), nowMillis());
			if (permit.isPresent()) {
				this.coldStartPermit = permit.get();
				return true;
			}
		}
		this.dependencies.metrics().increment("turned." + cause);
		close();
		this.relayedRequest.retryOrFail(DispatchOutcome.NOT_SENT,
				"server " + this.server.registration().id() + " " + cause + " while the connection to it was opened");
		return false;
	}

	@Override
	public void onHead(BackendResponseHead head) {
		this.responseHead = head;
		if (head.verdict() != BackendResponseHead.Verdict.MISDIRECTED) {
			new ServerNotices(this.dependencies, this.server).recordFrom(head, this.relayedRequest, nowMillis());
		}
		switch (head.verdict()) {
			case REJECTED ->
				cancelAndRetry(DispatchOutcome.REJECTED, "rejected by the server with status " + head.status().code());
			case MISDIRECTED -> {
				this.dependencies.servers().remove(this.server.registration().id());
				this.dependencies.coldStartGate().giveBack(this.coldStartPermit);
				cancelAndRetry(DispatchOutcome.MISDIRECTED, "the address belongs to another server");
			}
			case UNVERIFIED, ATTEMPT_MISMATCH ->
				cancelAndRetry(DispatchOutcome.BROKEN, "response without proof that the server sent it");
			case ANSWERED -> onAnswered(head);
		}
	}

	private void cancelAndRetry(DispatchOutcome outcome, String reason) {
		cancel(outcome);
		this.server.health().recordFailure(nowMillis());
		if (outcome.mayHaveRun()) {
			// A request that the server didn't run says nothing about its version.
			this.observation.onFailure(nowMillis());
		}
		this.relayedRequest.retryOrFail(outcome, reason);
	}

	private void onAnswered(BackendResponseHead head) {
		if (this.relayedRequest.callerExchange().hasResponseBegun()
				&& head.status().codeClass() != HttpStatusClass.SUCCESS) {
			cancelAndRetry(DispatchOutcome.FAILED,
					"the server answered the request to resume the stream with status " + head.status().code());
			return;
		}
		boolean failed = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
		if (failed && !this.relayedRequest.callerExchange().hasResponseBegun()
				&& this.relayedRequest.attempt().mayTryAnotherServer(nowMillis())
				&& this.relayedRequest.attempt().route().maxExecutions() > 1) {
			cancelAndRetry(DispatchOutcome.FAILED, "the server answered with status " + head.status().code());
			return;
		}
		if (!isStreaming()) {
			recordStart(nowMillis() - this.sentAtMillis);
		}
	}

	private void recordStart(long millisSinceStart) {
		this.prompt.release();
		this.relayedRequest.reportStart(millisSinceStart);
		this.dependencies.metrics().recordLatency("first", this.relayedRequest.attempt().elapsedMillis(nowMillis()));
	}

	private void recordPrediction(CacheOutcome outcome) {
		RelayMetrics metrics = this.dependencies.metrics();
		double expectedMillis = this.choice.delay().firstTokenMillis();
		long lateMillis = Math.round(nowMillis() - this.sentAtMillis - expectedMillis);
		metrics.recordLatency("first.expected", Math.round(expectedMillis));
		metrics.recordLatency((lateMillis > 0) ? "first.later" : "first.earlier", Math.abs(lateMillis));
		if (outcome != CacheOutcome.UNCLEAR) {
			String belief = (this.choice.cachedTokens() * 2 > this.relayedRequest.request().prompt().sharedTokens())
					? "believed" : "unknown";
			metrics.increment("cache." + belief + ((outcome == CacheOutcome.HIT) ? ".hit" : ".miss"));
		}
	}

	private boolean isStreaming() {
		return this.relayedRequest.attempt().route().kind() == RequestKind.STREAM && this.responseHead != null
				&& this.responseHead.status().codeClass() == HttpStatusClass.SUCCESS;
	}

	@Override
	public void onBody(ByteBuf chunk) {
		if (this.closed) {
			return;
		}
		if (isStreaming()) {
			forwardEvents(this.relayedRequest.eventSplitter().append(chunk));
			if (!this.closed && this.relayedRequest.eventSplitter().pendingBytes() > MAX_EVENT_BYTES) {
				cancelAndRetry(DispatchOutcome.BROKEN, "an event is longer than " + MAX_EVENT_BYTES + " bytes");
			}
		}
		else {
			bufferBody(chunk);
		}
		recordHeldBytes();
	}

	private void recordHeldBytes() {
		if (!this.closed) {
			this.dependencies.answerMemory()
				.set(this, HeldBytes.Kind.INCOMPLETE,
						this.bufferedBody.capacity() + this.relayedRequest.eventSplitter().heldBytes());
		}
	}

	/**
	 * Forward the part of a plain response that is buffered. The part of an event that is
	 * incomplete can't be forwarded, so the dispatch is cancelled.
	 */
	@Override
	public void releaseBytes() {
		if (isStreaming()) {
			this.dependencies.metrics().increment("memory.cancelled");
			cancelAndRetry(DispatchOutcome.BROKEN, "an event is incomplete and the memory for answers is used up");
		}
		else {
			this.dependencies.metrics().increment("memory.forwarded");
			forwardBufferedBody();
			this.relayedRequest.callerExchange().flush();
			pauseReadingIfCongested();
		}
	}

	@Override
	public void onReadComplete() {
		if (!this.closed) {
			this.relayedRequest.callerExchange().flush();
		}
	}

	private void forwardEvents(ByteBuf events) {
		if (!events.isReadable()) {
			events.release();
			return;
		}
		if (!this.prompt.isReleased()) {
			// This is the first event of the stream from this server.
			recordStart(0);
			recordPrediction(this.prompt.recordFirstToken(nowMillis()));
			this.observation.onAnswer(nowMillis());
		}
		this.progress.recordEvents(nowMillis());
		beginResponse();
		this.relayedRequest.callerExchange().writeChunk(events);
		pauseReadingIfCongested();
	}

	private void pauseReadingIfCongested() {
		if (this.relayedRequest.callerExchange().isCongested() && this.call != null) {
			this.call.setAutoRead(false);
		}
	}

	private void beginResponse() {
		BackendResponseHead head = this.responseHead;
		if (!this.relayedRequest.callerExchange().hasResponseBegun() && head != null) {
			this.relayedRequest.callerExchange().beginResponse(head.status(), head.headers());
		}
	}

	/**
	 * Buffer part of a plain response, or forward it if the response has become too long
	 * to be buffered.
	 * @param chunk the next part
	 */
	private void bufferBody(ByteBuf chunk) {
		if (this.bufferedBody.readableBytes() + chunk.readableBytes() > MAX_BUFFERED_BODY_BYTES) {
			forwardBufferedBody();
		}
		if (this.relayedRequest.callerExchange().hasResponseBegun()) {
			this.relayedRequest.callerExchange().writeChunk(chunk.copy());
			pauseReadingIfCongested();
			return;
		}
		if (!this.bufferedBody.isReadable()) {
			this.bufferedBody.release();
			this.bufferedBody = Unpooled.buffer(chunk.readableBytes());
		}
		this.bufferedBody.writeBytes(chunk);
	}

	private void forwardBufferedBody() {
		ByteBuf buffered = this.bufferedBody;
		this.bufferedBody = Unpooled.EMPTY_BUFFER;
		beginResponse();
		this.relayedRequest.callerExchange().writeChunk(buffered);
	}

	@Override
	public void onComplete() {
		if (this.closed) {
			return;
		}
		if (isStreaming() && this.relayedRequest.eventSplitter().isInsideEvent()) {
			onFailure("the stream ended inside an event");
			return;
		}
		BackendResponseHead head = this.responseHead;
		ByteBuf body = this.bufferedBody;
		this.bufferedBody = Unpooled.EMPTY_BUFFER;
		boolean failed = head == null || head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
		recordOutcome(failed);
		close();
		if (isStreaming()) {
			ByteBuf remainder = this.relayedRequest.eventSplitter().takeRemainder();
			beginResponse();
			if (remainder.isReadable()) {
				this.relayedRequest.callerExchange().writeChunk(remainder);
			}
		}
		this.relayedRequest.finish("request answered", (head != null) ? head.status().code() : 0,
				"answered by the server");
		this.relayedRequest.clearCurrentDispatch();
		if (this.relayedRequest.callerExchange().hasResponseBegun()) {
			body.release();
			this.relayedRequest.callerExchange().endResponse();
		}
		else if (head != null) {
			this.relayedRequest.callerExchange().respond(head.status(), head.headers(), body);
		}
	}

	private void recordOutcome(boolean failed) {
		long nowMillis = nowMillis();
		if (failed) {
			this.server.health().recordFailure(nowMillis);
		}
		else {
			this.server.health().recordSuccess(nowMillis);
			if (this.responseHead != null && this.responseHead.status().codeClass() == HttpStatusClass.SUCCESS) {
				this.progress.recordCompletion();
				this.prompt.recordAnswered(nowMillis);
			}
		}
		if (failed) {
			this.observation.onFailure(nowMillis);
		}
		else if (!isStreaming()) {
			this.observation.onAnswer(nowMillis);
		}
	}

	@Override
	public void onFailure(String reason) {
		if (this.closed) {
			return;
		}
		this.progress.recordBroken();
		close();
		this.server.health().recordFailure(nowMillis());
		this.observation.onFailure(nowMillis());
		this.relayedRequest.retryOrFail(DispatchOutcome.BROKEN, reason);
	}

	@Override
	public void onNotSent(String reason) {
		if (this.closed) {
			return;
		}
		close();
		this.server.health().recordUnreachable(nowMillis());
		this.relayedRequest.retryOrFail(DispatchOutcome.NOT_SENT, reason);
	}

}
