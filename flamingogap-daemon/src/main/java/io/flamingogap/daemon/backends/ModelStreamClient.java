package io.flamingogap.daemon.backends;

import java.io.IOException;
import java.net.http.HttpClient;
import java.time.Clock;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.core.stream.EventVerdict;
import io.flamingogap.core.stream.StreamCursor;
import io.flamingogap.daemon.rollouts.Rollouts;

/**
 * Streams answers of model engines to callers. If an engine fails, stops sending, skips a
 * token or sends an event of another request, the stream continues at another engine. An
 * answer never mixes tokens of two versions: a request may switch from the candidate to
 * the current version only before its first token.
 */
public final class ModelStreamClient {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final BackendClient client;

	private final BackendServers servers;

	private final Rollouts rollouts;

	private final Clock clock;

	/**
	 * Create a client.
	 * @param client the HTTP client for backend servers
	 * @param servers selects the engines
	 * @param rollouts receives the outcome of each attempt
	 * @param clock provides the current time
	 */
	public ModelStreamClient(BackendClient client, BackendServers servers, Rollouts rollouts, Clock clock) {
		this.client = client;
		this.servers = servers;
		this.rollouts = rollouts;
		this.clock = clock;
	}

	/**
	 * Stream an answer to its end, or until {@link TokenSink#shouldMoveStream}.
	 * @param call the request
	 * @param sink receives the tokens
	 * @return the failure that ended the answer early, or empty if the answer is complete
	 * or stopped to be moved
	 * @throws IOException if the caller closed the connection
	 * @throws InterruptedException if the thread is interrupted
	 */
	public Optional<Failure> stream(StreamCall call, TokenSink sink) throws IOException, InterruptedException {
		this.servers.recordFirstTry(call.service().name());
		Attempts attempts = new Attempts(call, sink);
		Optional<Failure> failure = attempts.run();
		if (failure.isPresent() && attempts.mayUseCurrentVersion()) {
			return new Attempts(call.withChoice(call.choice().withCurrentVersion()), sink).run();
		}
		return failure;
	}

	/**
	 * Attempts to stream the answer to one request from engines of one version.
	 */
	private final class Attempts {

		private final StreamCall call;

		private final TokenSink sink;

		private final StreamCursor cursor;

		private final Set<String> tried = new HashSet<>();

		private boolean connectionWasSilent;

		private Attempts(StreamCall call, TokenSink sink) {
			this.call = call;
			this.sink = sink;
			this.cursor = new StreamCursor(call.requestId(), call.firstPosition());
		}

		private boolean mayUseCurrentVersion() {
			return this.call.choice().arm() == Arm.CANDIDATE && this.cursor.nextPosition() == 0;
		}

		private Optional<Failure> run() throws IOException, InterruptedException {
			Failure failure = null;
			while (!this.cursor.isComplete() && !this.sink.shouldMoveStream()) {
				if (failure != null && !mayRetry(failure)) {
					return Optional.of(failure);
				}
				Optional<BackendServer> server = acquire();
				if (server.isEmpty()) {
					return Optional.of((failure != null) ? failure : noServerFailure());
				}
				this.tried.add(server.get().name());
				failure = streamFrom(server.get());
			}
			return Optional.ofNullable(this.cursor.isComplete() ? null : failure);
		}

		/**
		 * Choose a server that was not tried yet. If all were tried and a connection fell
		 * silent, choose any of them, because a new connection to it may work.
		 * @return the server, or empty if none is ready
		 */
		private Optional<BackendServer> acquire() {
			long nowMillis = ModelStreamClient.this.clock.millis();
			return ModelStreamClient.this.servers.acquire(this.call.choice().toServerQuery(this.tried), nowMillis)
				.or(() -> this.connectionWasSilent
						? ModelStreamClient.this.servers.acquire(this.call.choice().toServerQuery(Set.of()), nowMillis)
						: Optional.empty());
		}

		private Failure noServerFailure() {
			ModelStreamClient.this.rollouts.recordOutcome(this.call.choice(), true, 0);
			return Failure.notRun(ProblemType.NO_BACKEND, Step.ROUTE, this.call.service().name(),
					"no backend server of version " + this.call.choice().version() + " is ready");
		}

		private boolean mayRetry(Failure failure) {
			boolean beforeDeadline = ModelStreamClient.this.clock.millis() < this.call.deadlineMillis();
			boolean retryable = failure.type() != ProblemType.MALFORMED;
			return beforeDeadline && retryable && (isLeaving(failure.peer())
					|| ModelStreamClient.this.servers.trySpendRetry(this.call.service().name()));
		}

		private boolean isLeaving(String server) {
			return ModelStreamClient.this.servers.isLeaving(server, ModelStreamClient.this.clock.millis());
		}

		private @Nullable Failure streamFrom(BackendServer server) throws IOException, InterruptedException {
			HttpClient pool = ModelStreamClient.this.client.streamClient();
			try (EngineConnection connection = EngineConnection.open(pool, server, this.call,
					this.cursor.nextPosition(), ModelStreamClient.this.clock.millis())) {
				Failure failure = relayTokens(connection, server);
				if (connection.isSilent()) {
					this.connectionWasSilent = true;
					ModelStreamClient.this.client.replaceStreamClient(pool);
				}
				if (failure != null && failure.type() != ProblemType.MALFORMED) {
					logger.atWarning()
						.log("stream %s failed at %s, position %d: %s", this.call.requestId(), server.name(),
								this.cursor.nextPosition(), failure);
					recordFailure(server);
				}
				return failure;
			}
			finally {
				ModelStreamClient.this.servers.release(server);
			}
		}

		/**
		 * Record the failure of a server. The failure of a server that was announced as
		 * leaving doesn't count against its version.
		 * @param server the server that failed
		 */
		private void recordFailure(BackendServer server) {
			ModelStreamClient.this.servers.reportUnreachable(server, ModelStreamClient.this.clock.millis());
			if (!isLeaving(server.name())) {
				ModelStreamClient.this.rollouts.recordOutcome(this.call.choice(), true, 0);
			}
		}

		private @Nullable Failure relayTokens(EngineConnection connection, BackendServer server)
				throws IOException, InterruptedException {
			long startMillis = ModelStreamClient.this.clock.millis();
			long firstTokenMillis = -1;
			long maxSilenceMillis = this.call.service().targetMillis() + this.call.service().tokenGapMillis();
			while (!this.cursor.isComplete() && !this.sink.shouldMoveStream()) {
				long nowMillis = ModelStreamClient.this.clock.millis();
				long remainingMillis = this.call.deadlineMillis() - nowMillis;
				if (remainingMillis <= 0) {
					return Failure.notRun(ProblemType.DEADLINE_EXCEEDED, Step.STREAM, server.name(),
							"the deadline passed at position " + this.cursor.nextPosition());
				}
				Either<Failure, TokenEvent> next = connection.next(Math.min(maxSilenceMillis, remainingMillis));
				if (next.isLeft()) {
					return next.getLeft();
				}
				if (firstTokenMillis < 0) {
					firstTokenMillis = ModelStreamClient.this.clock.millis() - startMillis;
					maxSilenceMillis = this.call.service().tokenGapMillis();
				}
				Failure failure = handleEvent(next.get(), server);
				if (failure != null) {
					return failure;
				}
			}
			if (this.cursor.isComplete()) {
				ModelStreamClient.this.rollouts.recordOutcome(this.call.choice(), false, Math.max(0, firstTokenMillis));
			}
			return null;
		}

		private @Nullable Failure handleEvent(TokenEvent event, BackendServer server) throws IOException {
			EventVerdict verdict = this.cursor.accept(event.requestId(), event.position(), event.last());
			if (verdict == EventVerdict.PASS) {
				this.sink.accept(event);
			}
			else if (verdict != EventVerdict.DUPLICATE) {
				return Failure.notRun(ProblemType.BACKEND_FAILED, Step.STREAM, server.name(),
						verdict + " event " + event.requestId() + ":" + event.position());
			}
			return null;
		}

	}

}
