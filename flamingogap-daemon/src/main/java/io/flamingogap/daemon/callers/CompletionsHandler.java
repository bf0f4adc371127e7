package io.flamingogap.daemon.callers;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.UUID;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.manifest.ServiceKind;
import io.flamingogap.core.stream.EventId;
import io.flamingogap.daemon.backends.ModelStreamClient;
import io.flamingogap.daemon.backends.StreamCall;
import io.flamingogap.daemon.backends.TokenEvent;
import io.flamingogap.daemon.backends.TokenSink;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.rollouts.VersionChoice;

/**
 * Handles {@code /v1/chat/completions} and {@code /v1/completions}. The answer is a
 * stream of server-sent events or a single JSON document, as the caller requests.
 */
public final class CompletionsHandler {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String LAST_EVENT_HEADER = "Last-Event-ID";

	private final Configuration configuration;

	private final ModelStreamClient streamClient;

	private final Rollouts rollouts;

	private final BooleanSupplier moveStreams;

	/**
	 * Create a handler.
	 * @param configuration the configuration in force
	 * @param streamClient the client that streams answers of model engines
	 * @param rollouts selects the version of the service
	 * @param moveStreams whether open streams should stop at this node, so that callers
	 * resume them at another entry node
	 */
	public CompletionsHandler(Configuration configuration, ModelStreamClient streamClient, Rollouts rollouts,
			BooleanSupplier moveStreams) {
		this.configuration = configuration;
		this.streamClient = streamClient;
		this.rollouts = rollouts;
		this.moveStreams = moveStreams;
	}

	static boolean serves(String path) {
		return "/v1/chat/completions".equals(path) || "/v1/completions".equals(path);
	}

	void handle(HttpExchange exchange, CallerRequest request) throws IOException {
		Either<Failure, ObjectNode> document = Exchanges.parseObject(request.body());
		if (document.isLeft()) {
			Exchanges.sendProblem(exchange, document.getLeft());
			return;
		}
		Either<Failure, StreamCall> call = createCall(exchange, request, document.get());
		if (call.isLeft()) {
			Exchanges.sendProblem(exchange, call.getLeft());
			return;
		}
		if (hasCompleteAnswer(exchange)) {
			new EventStreamSink(exchange, call.get(), () -> false).end(Optional.empty());
			return;
		}
		try {
			if (document.get().path("stream").asBoolean(false)) {
				sendStream(exchange, call.get());
			}
			else {
				sendDocument(exchange, call.get());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Return whether the caller already received the last token, so that only the end
	 * marker is missing.
	 * @param exchange the exchange
	 * @return {@code true} if the Last-Event-ID header names the last event of an answer
	 */
	private static boolean hasCompleteAnswer(HttpExchange exchange) {
		return Exchanges.header(exchange, LAST_EVENT_HEADER).flatMap(EventId::parse).filter(EventId::last).isPresent();
	}

	private Either<Failure, StreamCall> createCall(HttpExchange exchange, CallerRequest request, ObjectNode document) {
		String model = document.path("model").asText();
		Optional<Service> service = this.configuration.manifest()
			.findService(model)
			.filter((found) -> found.kind() == ServiceKind.MODEL);
		if (service.isEmpty()) {
			return Either
				.left(Failure.notRun(ProblemType.NOT_FOUND, Step.ROUTE, "caller", "no model is named '" + model + "'"));
		}
		Optional<String> lastEvent = Exchanges.header(exchange, LAST_EVENT_HEADER);
		Optional<EventId> resume = lastEvent.flatMap(EventId::parse);
		if (lastEvent.isPresent() && resume.isEmpty()) {
			return Either.left(Exchanges.malformed("Last-Event-ID isn't the id of an event of this system"));
		}
		String requestId = resume.map(EventId::requestId).orElseGet(() -> UUID.randomUUID().toString());
		long firstPosition = resume.map((event) -> event.position() + 1).orElse(0L);
		String path = exchange.getRequestURI().getPath();
		VersionChoice choice = resume.map((event) -> this.rollouts.resumeVersion(service.get(), event.version(), path))
			.orElseGet(() -> this.rollouts.chooseVersion(service.get(), requestId, path, true));
		return Either.right(new StreamCall(choice, requestId, path, request.body(), request.account().name(),
				request.account().priority(), firstPosition, request.deadlineMillis()));
	}

	private void sendStream(HttpExchange exchange, StreamCall call) throws IOException, InterruptedException {
		EventStreamSink sink = new EventStreamSink(exchange, call, this.moveStreams);
		Optional<Failure> failure = this.streamClient.stream(call, sink);
		sink.end(failure);
	}

	private void sendDocument(HttpExchange exchange, StreamCall call) throws IOException, InterruptedException {
		DocumentSink sink = new DocumentSink();
		Optional<Failure> failure = this.streamClient.stream(call, sink);
		if (failure.isPresent()) {
			Exchanges.sendProblem(exchange, failure.get());
			return;
		}
		Exchanges.sendJson(exchange, 200, sink.document(call));
	}

	/**
	 * Sends tokens as server-sent events. The response headers are sent with the first
	 * event, so that a request that fails earlier is answered with a problem document.
	 */
	private static final class EventStreamSink implements TokenSink {

		private final HttpExchange exchange;

		private final StreamCall call;

		private final BooleanSupplier moveStreams;

		private boolean headersSent;

		private EventStreamSink(HttpExchange exchange, StreamCall call, BooleanSupplier moveStreams) {
			this.exchange = exchange;
			this.call = call;
			this.moveStreams = moveStreams;
		}

		@Override
		public void accept(TokenEvent event) throws IOException {
			EventId id = new EventId(this.call.requestId(), event.version(), event.position(), event.last());
			write("id: " + id + "\ndata: " + event.data() + "\n\n");
		}

		@Override
		public boolean shouldMoveStream() {
			return this.moveStreams.getAsBoolean();
		}

		private void end(Optional<Failure> failure) throws IOException {
			if (failure.isEmpty() && !shouldMoveStream()) {
				write("data: [DONE]\n\n");
			}
			else if (failure.isEmpty()) {
				write("event: moved\ndata: {}\n\n");
			}
			else if (this.headersSent) {
				byte[] problem = Exchanges.problemAnswer(failure.get()).body();
				write("event: problem\ndata: " + new String(problem, StandardCharsets.UTF_8) + "\n\n");
			}
			else {
				Exchanges.sendProblem(this.exchange, failure.get());
			}
		}

		private void write(String text) throws IOException {
			if (!this.headersSent) {
				this.exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
				this.exchange.getResponseHeaders().set("Cache-Control", "no-store");
				this.exchange.sendResponseHeaders(200, 0);
				this.headersSent = true;
			}
			OutputStream out = this.exchange.getResponseBody();
			out.write(text.getBytes(StandardCharsets.UTF_8));
			out.flush();
		}

	}

	/**
	 * Collects tokens for a single JSON document.
	 */
	private static final class DocumentSink implements TokenSink {

		private final StringBuilder text = new StringBuilder();

		@Override
		public void accept(TokenEvent event) throws IOException {
			JsonNode choice = MAPPER.readTree(event.data()).path("choices").path(0);
			this.text.append(choice.path("delta").path("content").asText(choice.path("text").asText()));
		}

		@Override
		public boolean shouldMoveStream() {
			return false;
		}

		private ObjectNode document(StreamCall call) {
			ObjectNode document = MAPPER.createObjectNode();
			document.put("id", call.requestId());
			document.put("object", "chat.completion");
			document.put("model", call.service().name());
			ObjectNode choice = document.putArray("choices").addObject();
			choice.put("index", 0);
			choice.putObject("message").put("role", "assistant").put("content", this.text.toString());
			choice.put("finish_reason", "stop");
			return document;
		}

	}

}
