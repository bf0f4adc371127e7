package io.flamingogap.daemon.backends;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
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
 * One token stream from one model engine. Closing it closes the connection, which cancels
 * the work at the engine.
 */
final class EngineConnection implements AutoCloseable {

	private static final int OK = 200;

	private static final int SERVER_ERROR = 500;

	private static final String ID_FIELD = "id: ";

	private static final String DATA_FIELD = "data: ";

	private static final String END_OF_STREAM = "[DONE]";

	private final BlockingQueue<Line> lines = new LinkedBlockingQueue<>();

	private final BackendServer server;

	private final LineReader reader = new LineReader();

	private final CompletableFuture<HttpResponse<Void>> response;

	private @Nullable String eventId;

	private EngineConnection(HttpClient client, BackendServer server, HttpRequest request) {
		this.server = server;
		this.response = client.sendAsync(request, (info) -> {
			this.lines.add(Line.status(info.statusCode()));
			return HttpResponse.BodySubscribers.fromLineSubscriber(this.reader, (ignored) -> null,
					StandardCharsets.UTF_8, "\n");
		});
		this.response.whenComplete((ignored, failure) -> this.lines.add(Line.end(failure)));
	}

	/**
	 * Open a stream.
	 * @param client the HTTP client
	 * @param server the model engine
	 * @param call the request, of which the first token may already have been sent
	 * @param position the position of the first token to send
	 * @return the stream; failures show when it is read
	 */
	static EngineConnection open(HttpClient client, BackendServer server, StreamCall call, long position) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.address() + call.path()))
			.header("Content-Type", "application/json")
			.header("X-Request-Id", call.requestId())
			.header("X-Resume-Position", String.valueOf(position))
			.header("X-Account", call.account())
			.header("X-Priority", String.valueOf(call.priority()))
			.POST(HttpRequest.BodyPublishers.ofByteArray(call.body()))
			.build();
		return new EngineConnection(client, server, request);
	}

	/**
	 * Read the next event.
	 * @param timeoutMillis how long the engine may be silent
	 * @return the event, or what ended the stream
	 */
	Either<Failure, TokenEvent> next(long timeoutMillis) throws InterruptedException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (true) {
			Line line = this.lines.poll(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
			if (line == null) {
				return Either.left(broken("silent for " + timeoutMillis + " ms"));
			}
			Either<Failure, @Nullable TokenEvent> read = read(line);
			if (read.isLeft()) {
				return Either.left(read.getLeft());
			}
			TokenEvent event = read.get();
			if (event != null) {
				return Either.right(event);
			}
		}
	}

	private Either<Failure, @Nullable TokenEvent> read(Line line) {
		if (line.ended()) {
			return Either.left(ended(line.failure()));
		}
		if (line.status() != 0) {
			return (line.status() == OK) ? Either.right(null) : Either.left(refused(line.status()));
		}
		if (line.text().startsWith(ID_FIELD)) {
			this.eventId = line.text().substring(ID_FIELD.length()).strip();
			return Either.right(null);
		}
		if (!line.text().startsWith(DATA_FIELD) || line.text().endsWith(END_OF_STREAM)) {
			return Either.right(null);
		}
		return event(line.text().substring(DATA_FIELD.length()));
	}

	private Either<Failure, @Nullable TokenEvent> event(String data) {
		String id = this.eventId;
		int separator = (id != null) ? id.lastIndexOf(':') : -1;
		if (separator < 0) {
			return Either.left(broken("event without an id"));
		}
		try {
			long position = Long.parseLong(id.substring(separator + 1));
			boolean last = data.contains("\"finish_reason\":\"");
			return Either
				.right(new TokenEvent(id.substring(0, separator), position, this.server.version(), data, last));
		}
		catch (NumberFormatException ex) {
			return Either.left(broken("event id '" + id + "' without a position"));
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

	private record Line(int status, String text, boolean ended, @Nullable Throwable failure) {

		static Line status(int status) {
			return new Line(status, "", false, null);
		}

		static Line text(String text) {
			return new Line(0, text, false, null);
		}

		static Line end(@Nullable Throwable failure) {
			return new Line(0, "", true, failure);
		}

	}

	private final class LineReader implements Flow.Subscriber<String> {

		private Flow.@Nullable Subscription subscription;

		private boolean cancelled;

		@Override
		public synchronized void onSubscribe(Flow.Subscription newSubscription) {
			this.subscription = newSubscription;
			if (this.cancelled) {
				newSubscription.cancel();
			}
			else {
				newSubscription.request(Long.MAX_VALUE);
			}
		}

		private synchronized void cancel() {
			this.cancelled = true;
			if (this.subscription != null) {
				this.subscription.cancel();
			}
		}

		@Override
		public void onNext(String text) {
			EngineConnection.this.lines.add(Line.text(text));
		}

		@Override
		public void onError(Throwable failure) {
			EngineConnection.this.lines.add(Line.end(failure));
		}

		@Override
		public void onComplete() {
			EngineConnection.this.lines.add(Line.end(null));
		}

	}

}
