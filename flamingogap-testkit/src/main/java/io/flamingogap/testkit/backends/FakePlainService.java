package io.flamingogap.testkit.backends;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

import com.sun.net.httpserver.HttpExchange;

import io.flamingogap.testkit.http.Json;
import io.flamingogap.testkit.http.LoopbackHttpServer;

/**
 * Fake of a plain service. {@code GET /lots/ID} returns a lot; {@code POST /bookings}
 * creates a booking and counts each execution by its {@code Idempotency-Key}, without
 * removing duplicates; {@code GET /control/executions} returns the counts and
 * {@code POST /control} sets {@code {"answerMillis"}}.
 */
public final class FakePlainService implements AutoCloseable {

	private static final long HELD_POLL_INTERVAL_MILLIS = 5;

	private final LoopbackHttpServer server;

	private final Map<String, Integer> executions = new ConcurrentSkipListMap<>();

	private final AtomicLong bookings = new AtomicLong();

	private final AtomicLong requests = new AtomicLong();

	private volatile long answerMillis;

	private volatile boolean failing;

	private volatile boolean held;

	/**
	 * Start a service.
	 * @param port the port; 0 for any free one
	 * @param answerMillis the time that a booking takes, in milliseconds
	 */
	public FakePlainService(int port, long answerMillis) {
		this.answerMillis = answerMillis;
		this.server = new LoopbackHttpServer(port, this::handle);
	}

	private void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		this.requests.incrementAndGet();
		if ("/control/executions".equals(path)) {
			Json.answer(exchange, 200, new TreeMap<>(this.executions));
		}
		else if ("/control".equals(path)) {
			this.answerMillis = Json.parse(Json.body(exchange)).get("answerMillis").asLong();
			Json.answer(exchange, 200, Map.of());
		}
		else if (this.failing) {
			Json.answer(exchange, 500, Map.of("error", "failing"));
		}
		else if ("POST".equals(exchange.getRequestMethod())) {
			book(exchange);
		}
		else {
			Json.answer(exchange, 200, Map.of("lot", path, "balance", Math.abs(path.hashCode() % 1_000)));
		}
	}

	private void book(HttpExchange exchange) throws IOException {
		String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
		Json.body(exchange);
		this.executions.merge((key != null) ? key : "none", 1, Integer::sum);
		long number = this.bookings.incrementAndGet();
		try {
			Thread.sleep(this.answerMillis);
			while (this.held) {
				Thread.sleep(HELD_POLL_INTERVAL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		Json.answer(exchange, 201, Map.of("booking", number));
	}

	/**
	 * Return how often the booking of each key was executed.
	 * @return the counts by idempotency key; bookings without a key count as {@code none}
	 */
	public Map<String, Integer> executions() {
		return new TreeMap<>(this.executions);
	}

	/**
	 * Set how long a booking takes.
	 * @param newAnswerMillis the time in milliseconds
	 */
	public void setAnswerMillis(long newAnswerMillis) {
		this.answerMillis = newAnswerMillis;
	}

	/**
	 * Set whether bookings and lookups fail without being executed.
	 * @param newFailing {@code true} to answer with status 500
	 */
	public void setFailing(boolean newFailing) {
		this.failing = newFailing;
	}

	/**
	 * Set whether the answers of executed bookings are held back.
	 * @param newHeld {@code true} to hold the answers back, {@code false} to send them
	 */
	public void setHeld(boolean newHeld) {
		this.held = newHeld;
	}

	/**
	 * Return the number of requests received.
	 * @return the number since the start, control requests included
	 */
	public long requests() {
		return this.requests.get();
	}

	/**
	 * Return the address on which the service listens.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return this.server.address();
	}

	@Override
	public void close() {
		this.server.close();
	}

}
