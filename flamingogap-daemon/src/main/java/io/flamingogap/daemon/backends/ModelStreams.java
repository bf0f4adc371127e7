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
import io.flamingogap.core.stream.EventVerdict;
import io.flamingogap.core.stream.StreamCursor;

/**
 * Streams answers of model engines, and goes on at another engine when one breaks, goes
 * silent or sends what isn't the next token.
 */
public final class ModelStreams {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final BackendClient client;

	private final BackendServers servers;

	private final Clock clock;

	/**
	 * Create the streams.
	 * @param client the client of backend servers
	 * @param servers what is known of them
	 * @param clock tells the present time
	 */
	public ModelStreams(BackendClient client, BackendServers servers, Clock clock) {
		this.client = client;
		this.servers = servers;
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
		StreamCursor cursor = new StreamCursor(call.requestId(), call.firstPosition());
		Set<String> tried = new HashSet<>();
		Failure failure = null;
		this.servers.recordFirstTry(call.service().name());
		while (!cursor.isEnded() && !sink.isMoving()) {
			if (failure != null && !mayRetry(call, failure)) {
				return Optional.of(failure);
			}
			Optional<BackendServer> server = this.servers.acquire(call.service(), tried, this.clock.millis());
			if (server.isEmpty()) {
				return Optional.of((failure != null) ? failure : noServer(call));
			}
			tried.add(server.get().name());
			failure = streamFrom(server.get(), call, cursor, sink);
		}
		return Optional.ofNullable(cursor.isEnded() ? null : failure);
	}

	private boolean mayRetry(StreamCall call, Failure failure) {
		boolean inTime = this.clock.millis() < call.deadlineMillis();
		boolean retryable = failure.type() != ProblemType.MALFORMED;
		return inTime && retryable && (isAnnounced(failure) || this.servers.trySpendRetry(call.service().name()));
	}

	private boolean isAnnounced(Failure failure) {
		return this.servers.isLeaving(failure.peer(), this.clock.millis());
	}

	private @Nullable Failure streamFrom(BackendServer server, StreamCall call, StreamCursor cursor, TokenSink sink)
			throws IOException, InterruptedException {
		try (EngineConnection connection = EngineConnection.open(this.client.pooled(), server, call,
				cursor.nextPosition())) {
			Failure failure = copy(connection, server, call, cursor, sink);
			if (failure != null && failure.type() != ProblemType.MALFORMED) {
				logger.atWarning()
					.log("stream %s leaves %s at position %d: %s", call.requestId(), server.name(),
							cursor.nextPosition(), failure);
				this.servers.reportUnreachable(server, this.clock.millis());
			}
			return failure;
		}
		finally {
			this.servers.release(server);
		}
	}

	private @Nullable Failure copy(EngineConnection connection, BackendServer server, StreamCall call,
			StreamCursor cursor, TokenSink sink) throws IOException, InterruptedException {
		long silentMillis = call.service().targetMillis() + call.service().tokenGapMillis();
		while (!cursor.isEnded() && !sink.isMoving()) {
			long leftMillis = call.deadlineMillis() - this.clock.millis();
			if (leftMillis <= 0) {
				return Failure.notRun(ProblemType.DEADLINE_EXCEEDED, Step.STREAM, server.name(),
						"the deadline passed at position " + cursor.nextPosition());
			}
			Either<Failure, TokenEvent> next = connection.next(Math.min(silentMillis, leftMillis));
			if (next.isLeft()) {
				return next.getLeft();
			}
			TokenEvent event = next.get();
			EventVerdict verdict = cursor.accept(event.requestId(), event.position(), event.last());
			if (verdict == EventVerdict.PASS) {
				sink.accept(event);
			}
			else if (verdict != EventVerdict.DUPLICATE) {
				return Failure.notRun(ProblemType.BACKEND_FAILED, Step.STREAM, server.name(),
						verdict + " event " + event.requestId() + ":" + event.position());
			}
			silentMillis = call.service().tokenGapMillis();
		}
		return null;
	}

	private static Failure noServer(StreamCall call) {
		return Failure.notRun(ProblemType.NO_BACKEND, Step.ROUTE, call.service().name(),
				"no backend server of version " + call.service().version() + " is ready");
	}

}
