package io.flamingogap.testkit.backends;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;

import io.flamingogap.testkit.http.Json;
import io.flamingogap.testkit.http.LoopbackHttpServer;

/**
 * Fake of a model engine. {@code POST /v1/chat/completions} streams tokens that depend on
 * the request alone, so that any engine can resume a stream at the position in
 * {@code X-Resume-Position}; each event's id is {@code REQUEST:POSITION}.
 * {@code GET /v1/load} answers {@code {"running": n}}; {@code POST /control} sets
 * {@code {"fault", "faultPosition"}}; {@code GET /control} answers the counters.
 */
public final class FakeEngine implements AutoCloseable {

	private static final String[] WORDS = { "carob", "scale", "ghat", "tender", "creek", "lot", "price", "berth" };

	private final LoopbackHttpServer server;

	private final long firstTokenMillis;

	private final long tokenGapMillis;

	private final AtomicInteger running = new AtomicInteger();

	private final AtomicLong requests = new AtomicLong();

	private final AtomicLong loadReports = new AtomicLong();

	private final AtomicLong tokens = new AtomicLong();

	private volatile EngineFault fault = EngineFault.NONE;

	private volatile long faultPosition;

	/**
	 * Start an engine.
	 * @param port the port; 0 for any free one
	 * @param firstTokenMillis the time to the first token, in milliseconds
	 * @param tokenGapMillis the time between tokens, in milliseconds
	 */
	public FakeEngine(int port, long firstTokenMillis, long tokenGapMillis) {
		this.firstTokenMillis = firstTokenMillis;
		this.tokenGapMillis = tokenGapMillis;
		this.server = new LoopbackHttpServer(port, this::handle);
	}

	/**
	 * Return the token at a position of the answer to a prompt.
	 * @param prompt the messages or the prompt of the request, as JSON text
	 * @param position the position, from 0
	 * @return the text of the token
	 */
	public static String token(String prompt, long position) {
		long hash = (prompt.hashCode() * 31L + position) * 0x9E3779B97F4A7C15L;
		return WORDS[(int) ((hash >>> 40) % WORDS.length)] + position + " ";
	}

	private void handle(HttpExchange exchange) throws IOException {
		switch (exchange.getRequestURI().getPath()) {
			case "/v1/load" -> reportLoad(exchange);
			case "/control" -> control(exchange);
			default -> complete(exchange);
		}
	}

	private void reportLoad(HttpExchange exchange) throws IOException {
		Json.answer(exchange, 200, Map.of("running", this.running.get()));
		this.loadReports.incrementAndGet();
	}

	private void control(HttpExchange exchange) throws IOException {
		if ("POST".equals(exchange.getRequestMethod())) {
			JsonNode body = Json.parse(Json.body(exchange));
			setFault(EngineFault.valueOf(body.get("fault").asText().toUpperCase(Locale.ROOT)),
					body.path("faultPosition").asLong(0));
		}
		Json.answer(exchange, 200, Map.of("requests", this.requests.get(), "tokens", this.tokens.get()));
	}

	private void complete(HttpExchange exchange) throws IOException {
		this.requests.incrementAndGet();
		JsonNode body = Json.parse(Json.body(exchange));
		if (this.fault == EngineFault.FAIL) {
			Json.answer(exchange, 500, Map.of("error", "failed"));
			return;
		}
		this.running.incrementAndGet();
		try {
			exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
			exchange.sendResponseHeaders(200, 0);
			stream(exchange, body);
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private void stream(HttpExchange exchange, JsonNode body) throws IOException {
		String request = exchange.getRequestHeaders().getFirst("X-Request-Id");
		String resume = exchange.getRequestHeaders().getFirst("X-Resume-Position");
		String prompt = (body.has("messages") ? body.get("messages") : body.path("prompt")).toString();
		long first = (resume != null) ? Long.parseLong(resume) : 0;
		long count = body.path("max_tokens").asLong(16);
		OutputStream out = exchange.getResponseBody();
		long startNanos = System.nanoTime();
		for (long position = first; position < count; position++) {
			long dueMillis = this.firstTokenMillis + (position - first) * this.tokenGapMillis;
			sleepUntil(startNanos + dueMillis * 1_000_000);
			if (!send(out, request, prompt, position, position == count - 1)) {
				return;
			}
		}
		out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private boolean send(OutputStream out, String request, String prompt, long position, boolean last)
			throws IOException {
		EngineFault activeFault = (position == this.faultPosition) ? this.fault : EngineFault.NONE;
		switch (activeFault) {
			case STALL -> sleepUntil(System.nanoTime() + 3_600_000_000_000L);
			case BREAK -> {
				return false;
			}
			case CROSS -> write(out, event("someone-else", "other prompt", position, last));
			case DOUBLE -> write(out, event(request, prompt, position, last));
			default -> {
			}
		}
		if (activeFault != EngineFault.SKIP) {
			write(out, event(request, prompt, position, last));
		}
		return true;
	}

	private void write(OutputStream out, String event) throws IOException {
		this.tokens.incrementAndGet();
		out.write(event.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	private static String event(String request, String prompt, long position, boolean last) {
		String finish = last ? "\"stop\"" : "null";
		return "id: " + request + ":" + position + "\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":"
				+ "[{\"index\":0,\"delta\":{\"content\":" + Json.write(token(prompt, position)) + "},\"finish_reason\":"
				+ finish + "}]}\n\n";
	}

	/**
	 * Set the fault of all streams from now on.
	 * @param newFault the fault
	 * @param position the position of the token at which the fault occurs, from 0
	 */
	public void setFault(EngineFault newFault, long position) {
		this.fault = newFault;
		this.faultPosition = position;
	}

	/**
	 * Return the number of completion requests received.
	 * @return the number since the start
	 */
	public long requests() {
		return this.requests.get();
	}

	/**
	 * Return the number of load reports sent.
	 * @return the number since the start
	 */
	public long loadReports() {
		return this.loadReports.get();
	}

	/**
	 * Return the number of tokens sent.
	 * @return the number since the start, over all streams
	 */
	public long tokens() {
		return this.tokens.get();
	}

	/**
	 * Return the address on which the engine listens.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return this.server.address();
	}

	@Override
	public void close() {
		this.server.close();
	}

	private static void sleepUntil(long nanoTime) {
		long remainingMillis = (nanoTime - System.nanoTime()) / 1_000_000;
		try {
			if (remainingMillis > 0) {
				Thread.sleep(remainingMillis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
