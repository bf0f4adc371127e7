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
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.BackendServer;

/**
 * One token stream from one model engine. Closing it closes the connection, which cancels
 * the work at the engine.
 */
final class EngineConnection implements AutoCloseable {

	private static final int OK = 200;

	/** Bounds the lines kept for a caller that reads slowly. */
	private static final int LINES_AHEAD = 256;

	private static final int LINES_A_REQUEST = 64;

	private static final int SERVER_ERROR = 500;

	private static final String ID_FIELD = "id: ";

	private static final String DATA_FIELD = "data: ";

	private static final String END_OF_STREAM = "[DONE]";

	private static final String FINISHED = "\"finish_reason\":\"";

	private final BlockingQueue<Item> items = new LinkedBlockingQueue<>();

	private final BackendServer server;

	private final LineReader reader = new LineReader();

	private final CompletableFuture<HttpResponse<Void>> response;

	private EngineConnection(HttpClient client, BackendServer server, HttpRequest request) {
		this.server = server;
		this.response = client.sendAsync(request, (info) -> {
			if (info.statusCode() != OK) {
				this.items.add(Item.failed(refused(info.statusCode())));
			}
			return HttpResponse.BodySubscribers.fromLineSubscriber(this.reader, (ignored) -> null,
					StandardCharsets.UTF_8, "\n");
		});
		this.response.whenComplete((ignored, failure) -> this.items.add(Item.failed(ended(failure))));
	}

	/**
	 * Open a stream.
	 * @param client the HTTP client
	 * @param server the model engine
	 * @param call the request, of which the first token may already have been sent
	 * @param position the position of the first token to send
	 * @param nowMillis the present time
	 * @return the stream; failures show when it is read
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
	 * Read the next event.
	 * @param timeoutMillis how long the engine may be silent
	 * @return the event, or what ended the stream
	 * @throws InterruptedException if the thread is interrupted
	 */
	Either<Failure, TokenEvent> next(long timeoutMillis) throws InterruptedException {
		Item item = this.items.poll(timeoutMillis, TimeUnit.MILLISECONDS);
		if (item == null) {
			return Either.left(broken("silent for " + timeoutMillis + " ms"));
		}
		if (item.event() != null) {
			this.reader.recordConsumed();
			return Either.right(item.event());
		}
		return Either.left(Objects.requireNonNull(item.failure(), "an item without an event has a failure"));
	}

	private Item item(String eventId, String data) {
		int separator = eventId.lastIndexOf(':');
		if (separator < 0) {
			return Item.failed(broken("event without an id"));
		}
		try {
			long position = Long.parseLong(eventId.substring(separator + 1));
			boolean last = data.contains(FINISHED);
			return Item
				.event(new TokenEvent(eventId.substring(0, separator), position, this.server.version(), data, last));
		}
		catch (NumberFormatException ex) {
			return Item.failed(broken("event id '" + eventId + "' without a position"));
		}
	}

	private Failure ended(@Nullable Throwable failure) {
		Throwable cause = (failure != null && failure.getCause() != null) ? failure.getCause() : failure;
		if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
			return Failure.notRun(ProblemType.NO_BACKEND, Step.CONNECT, this.server.name(),
					"no connection to " + this.server.address());
		}
		return broken((cause != null) ? "connection broke: " + cause.getMessage() : "stream ended early");
	}

	private Failure refused(int status) {
		ProblemType type = (status >= SERVER_ERROR) ? ProblemType.BACKEND_FAILED : ProblemType.MALFORMED;
		return Failure.notRun(type, Step.DISPATCH, this.server.name(), "status " + status);
	}

	private Failure broken(String detail) {
		return Failure.notRun(ProblemType.BACKEND_FAILED, Step.STREAM, this.server.name(), detail);
	}

	@Override
	public void close() {
		this.reader.cancel();
		this.response.cancel(true);
	}

	/**
	 * What the engine sent next.
	 *
	 * @param event an event
	 * @param failure what ended the stream, if there is no event
	 */
	private record Item(@Nullable TokenEvent event, @Nullable Failure failure) {

		static Item event(TokenEvent event) {
			return new Item(event, null);
		}

		static Item failed(Failure failure) {
			return new Item(null, failure);
		}

	}

	/**
	 * Makes events of lines. A bounded number of lines is read ahead of the caller.
	 */
	private final class LineReader implements Flow.Subscriber<String> {

		private final AtomicInteger consumed = new AtomicInteger();

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
				newSubscription.request(LINES_AHEAD);
			}
		}

		private void recordConsumed() {
			Flow.Subscription current = this.subscription;
			if (this.consumed.incrementAndGet() >= LINES_A_REQUEST && current != null) {
				current.request(this.consumed.getAndSet(0));
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
			if (line.startsWith(DATA_FIELD) && !line.endsWith(END_OF_STREAM)) {
				EngineConnection.this.items.add(item(this.eventId, line.substring(DATA_FIELD.length())));
				return;
			}
			if (line.startsWith(ID_FIELD)) {
				this.eventId = line.substring(ID_FIELD.length()).strip();
			}
			recordConsumed();
		}

		@Override
		public void onError(Throwable failure) {
			EngineConnection.this.items.add(Item.failed(ended(failure)));
		}

		@Override
		public void onComplete() {
			EngineConnection.this.items.add(Item.failed(ended(null)));
		}

	}

}
