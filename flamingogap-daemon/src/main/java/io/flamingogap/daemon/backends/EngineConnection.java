package io.flamingogap.daemon.backends;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Flow;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.BackendServer;

/**
 * Connection to a model engine that receives the token stream of one request. Closing it
 * closes the HTTP connection, which cancels the request at the engine.
 */
final class EngineConnection implements AutoCloseable {

	private static final int OK = 200;

	/** Limits the lines that are buffered for a caller that reads slowly. */
	private static final int MAX_BUFFERED_LINES = 256;

	private static final int LINES_PER_REQUEST = 64;

	private static final int FIRST_SERVER_ERROR_STATUS = 500;

	private static final String ID_FIELD = "id: ";

	private static final String DATA_FIELD = "data: ";

	private static final String DONE_MARKER = "[DONE]";

	private static final String FINISH_REASON_START = "\"finish_reason\":\"";

	private final BlockingQueue<StreamItem> items = new LinkedBlockingQueue<>();

	private final BackendServer server;

	private final LineSubscriber lineSubscriber = new LineSubscriber();

	private final CompletableFuture<HttpResponse<Void>> response;

	private boolean silent;

	private EngineConnection(HttpClient client, BackendServer server, HttpRequest request) {
		this.server = server;
		this.response = client.sendAsync(request, (info) -> {
			if (info.statusCode() != OK) {
				this.items.add(StreamItem.failed(statusFailure(info.statusCode())));
			}
			return HttpResponse.BodySubscribers.fromLineSubscriber(this.lineSubscriber, (ignored) -> null,
					StandardCharsets.UTF_8, "\n");
		});
		this.response.whenComplete((ignored, failure) -> this.items.add(StreamItem.failed(endFailure(failure))));
	}

	/**
	 * Send a request to a model engine.
	 * @param client the HTTP client
	 * @param server the model engine
	 * @param call the request; its caller may already have received tokens
	 * @param position the position of the first token that the engine should send
	 * @param nowMillis the current time in milliseconds
	 * @return the connection; failures are returned by {@link #next}
	 */
	static EngineConnection open(HttpClient client, BackendServer server, StreamCall call, long position,
			long nowMillis) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.address() + call.path()))
			.header("Content-Type", "application/json")
			.header("X-Request-Id", call.requestId())
			.header("X-Resume-Position", String.valueOf(position))
			.header("X-Account", call.account())
			.header("X-Priority", String.valueOf(call.priority()))
			.header("X-Deadline-Millis", String.valueOf(Math.max(0, call.deadlineMillis() - nowMillis)))
			.POST(HttpRequest.BodyPublishers.ofByteArray(call.body()))
			.build();
		return new EngineConnection(client, server, request);
	}

	/**
	 * Wait for the next event.
	 * @param timeoutMillis the maximum time to wait
	 * @return the event, or the failure that ended the stream
	 * @throws InterruptedException if the thread is interrupted
	 */
	Either<Failure, TokenEvent> next(long timeoutMillis) throws InterruptedException {
		StreamItem item = this.items.poll(timeoutMillis, TimeUnit.MILLISECONDS);
		if (item == null) {
			this.silent = true;
			return Either.left(streamFailure("silent for " + timeoutMillis + " ms"));
		}
		if (item.event() != null) {
			this.lineSubscriber.recordConsumed();
			return Either.right(item.event());
		}
		return Either.left(Objects.requireNonNull(item.failure(), "an item without an event must have a failure"));
	}

	/**
	 * Return whether the last wait for an event timed out.
	 * @return {@code true} if the connection, and not only the engine, may be silent
	 */
	boolean isSilent() {
		return this.silent;
	}

	private StreamItem parseEvent(String eventId, String data) {
		int separator = eventId.lastIndexOf(':');
		if (separator < 0) {
			return StreamItem.failed(streamFailure("event without an id"));
		}
		try {
			long position = Long.parseLong(eventId.substring(separator + 1));
			boolean last = data.contains(FINISH_REASON_START);
			return StreamItem
				.event(new TokenEvent(eventId.substring(0, separator), position, this.server.version(), data, last));
		}
		catch (NumberFormatException ex) {
			return StreamItem.failed(streamFailure("event id '" + eventId + "' without a position"));
		}
	}

	private Failure endFailure(@Nullable Throwable failure) {
		Throwable cause = (failure != null && failure.getCause() != null) ? failure.getCause() : failure;
		if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
			return Failure.notRun(ProblemType.NO_BACKEND, Step.CONNECT, this.server.name(),
					"no connection to " + this.server.address());
		}
		return streamFailure((cause != null) ? "connection broke: " + cause.getMessage() : "stream ended early");
	}

	private Failure statusFailure(int status) {
		ProblemType type = (status >= FIRST_SERVER_ERROR_STATUS) ? ProblemType.BACKEND_FAILED : ProblemType.MALFORMED;
		return Failure.notRun(type, Step.DISPATCH, this.server.name(), "status " + status);
	}

	private Failure streamFailure(String detail) {
		return Failure.notRun(ProblemType.BACKEND_FAILED, Step.STREAM, this.server.name(), detail);
	}

	@Override
	public void close() {
		this.lineSubscriber.cancel();
		this.response.cancel(true);
	}

	/**
	 * Event of the stream, or the failure that ended it.
	 *
	 * @param event the event, or {@code null} after a failure
	 * @param failure the failure, or {@code null} if there is an event
	 */
	private record StreamItem(@Nullable TokenEvent event, @Nullable Failure failure) {

		static StreamItem event(TokenEvent event) {
			return new StreamItem(event, null);
		}

		static StreamItem failed(Failure failure) {
			return new StreamItem(null, failure);
		}

	}

	/**
	 * Parses the lines of the response into events. Only a limited number of lines is
	 * requested before the caller reads them.
	 */
	private final class LineSubscriber implements Flow.Subscriber<String> {

		private final LineDemand demand = new LineDemand(LINES_PER_REQUEST);

		private volatile Flow.@Nullable Subscription subscription;

		private volatile boolean cancelled;

		private String eventId = "";

		@Override
		public void onSubscribe(Flow.Subscription newSubscription) {
			this.subscription = newSubscription;
			if (this.cancelled) {
				newSubscription.cancel();
			}
			else {
				newSubscription.request(MAX_BUFFERED_LINES);
			}
		}

		private void recordConsumed() {
			Flow.Subscription current = this.subscription;
			if (current != null) {
				this.demand.recordConsumed(current);
			}
		}

		private void cancel() {
			this.cancelled = true;
			Flow.Subscription current = this.subscription;
			if (current != null) {
				current.cancel();
			}
		}

		@Override
		public void onNext(String line) {
			if (line.startsWith(DATA_FIELD) && !line.endsWith(DONE_MARKER)) {
				EngineConnection.this.items.add(parseEvent(this.eventId, line.substring(DATA_FIELD.length())));
				return;
			}
			if (line.startsWith(ID_FIELD)) {
				this.eventId = line.substring(ID_FIELD.length()).strip();
			}
			recordConsumed();
		}

		@Override
		public void onError(Throwable failure) {
			EngineConnection.this.items.add(StreamItem.failed(endFailure(failure)));
		}

		@Override
		public void onComplete() {
			EngineConnection.this.items.add(StreamItem.failed(endFailure(null)));
		}

	}

}
