package io.flamingogap.daemon.backends;

import java.io.IOException;
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
 * Streams answers of model engines, and goes on at another engine when one breaks, goes
 * silent or sends what isn't the next token. Tokens of two versions are never mixed: only
 * a request without a token may move from the candidate to the version in use.
 */
public final class ModelStreams {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final BackendClient client;

	private final BackendServers servers;

	private final Rollouts rollouts;

	private final Clock clock;

	/**
	 * Create the streams.
	 * @param client the client of backend servers
	 * @param servers what is known of them
	 * @param rollouts counts outcomes by version
	 * @param clock tells the present time
	 */
	public ModelStreams(BackendClient client, BackendServers servers, Rollouts rollouts, Clock clock) {
		this.client = client;
		this.servers = servers;
		this.rollouts = rollouts;
		this.clock = clock;
	}

	/**
	 * Stream an answer to its end.
	 * @param call the request
	 * @param sink takes the tokens
	 * @return why the answer isn't whole, or nothing if it is
	 * @throws IOException if the caller has left
	 * @throws InterruptedException if the thread is interrupted
	 */
	public Optional<Failure> stream(StreamCall call, TokenSink sink) throws IOException, InterruptedException {
		this.servers.recordFirstTry(call.service().name());
		Attempts attempts = new Attempts(call, sink);
		Optional<Failure> failure = attempts.run();
		if (failure.isPresent() && attempts.mayUseCurrentVersion()) {
			return new Attempts(call.with(call.choice().withCurrentVersion()), sink).run();
		}
		return failure;
	}

	/**
	 * The attempts of one request at engines of one version.
	 */
	private final class Attempts {

		private final StreamCall call;

		private final TokenSink sink;

		private final StreamCursor cursor;

		private final Set<String> tried = new HashSet<>();

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
			while (!this.cursor.isComplete() && !this.sink.isMoving()) {
				if (failure != null && !mayRetry(failure)) {
					return Optional.of(failure);
				}
				Optional<BackendServer> server = ModelStreams.this.servers
					.acquire(this.call.choice().toServerQuery(this.tried), ModelStreams.this.clock.millis());
				if (server.isEmpty()) {
					return Optional.of((failure != null) ? failure : noServer());
				}
				this.tried.add(server.get().name());
				failure = streamFrom(server.get());
			}
			return Optional.ofNullable(this.cursor.isComplete() ? null : failure);
		}

		private Failure noServer() {
			ModelStreams.this.rollouts.recordOutcome(this.call.choice(), true, 0);
			return Failure.notRun(ProblemType.NO_BACKEND, Step.ROUTE, this.call.service().name(),
					"no backend server of version " + this.call.choice().version() + " is ready");
		}

		private boolean mayRetry(Failure failure) {
			boolean inTime = ModelStreams.this.clock.millis() < this.call.deadlineMillis();
			boolean retryable = failure.type() != ProblemType.MALFORMED;
			return inTime && retryable && (isAnnounced(failure.peer())
					|| ModelStreams.this.servers.trySpendRetry(this.call.service().name()));
		}

		private boolean isAnnounced(String server) {
			return ModelStreams.this.servers.isLeaving(server, ModelStreams.this.clock.millis());
		}

		private @Nullable Failure streamFrom(BackendServer server) throws IOException, InterruptedException {
			try (EngineConnection connection = EngineConnection.open(ModelStreams.this.client.pooled(), server,
					this.call, this.cursor.nextPosition(), ModelStreams.this.clock.millis())) {
				Failure failure = copy(connection, server);
				if (failure != null && failure.type() != ProblemType.MALFORMED) {
					logger.atWarning()
						.log("stream %s leaves %s at position %d: %s", this.call.requestId(), server.name(),
								this.cursor.nextPosition(), failure);
					recordFailure(server);
				}
				return failure;
			}
			finally {
				ModelStreams.this.servers.release(server);
			}
		}

		/**
		 * A server that was announced to leave says nothing about its version.
		 * @param server the server that failed
		 */
		private void recordFailure(BackendServer server) {
			ModelStreams.this.servers.reportUnreachable(server, ModelStreams.this.clock.millis());
			if (!isAnnounced(server.name())) {
				ModelStreams.this.rollouts.recordOutcome(this.call.choice(), true, 0);
			}
		}

		private @Nullable Failure copy(EngineConnection connection, BackendServer server)
				throws IOException, InterruptedException {
			long startMillis = ModelStreams.this.clock.millis();
			long firstTokenMillis = -1;
			long silentMillis = this.call.service().targetMillis() + this.call.service().tokenGapMillis();
			while (!this.cursor.isComplete() && !this.sink.isMoving()) {
				long nowMillis = ModelStreams.this.clock.millis();
				long leftMillis = this.call.deadlineMillis() - nowMillis;
				if (leftMillis <= 0) {
					return Failure.notRun(ProblemType.DEADLINE_EXCEEDED, Step.STREAM, server.name(),
							"the deadline passed at position " + this.cursor.nextPosition());
				}
				Either<Failure, TokenEvent> next = connection.next(Math.min(silentMillis, leftMillis));
				if (next.isLeft()) {
					return next.getLeft();
				}
				if (firstTokenMillis < 0) {
					firstTokenMillis = ModelStreams.this.clock.millis() - startMillis;
					silentMillis = this.call.service().tokenGapMillis();
				}
				Failure failure = take(next.get(), server);
				if (failure != null) {
					return failure;
				}
			}
			if (this.cursor.isComplete()) {
				ModelStreams.this.rollouts.recordOutcome(this.call.choice(), false, Math.max(0, firstTokenMillis));
			}
			return null;
		}

		private @Nullable Failure take(TokenEvent event, BackendServer server) throws IOException {
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
