package io.flamingogap.testkit.metadata;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;

import io.flamingogap.testkit.http.Json;
import io.flamingogap.testkit.http.LoopbackHttpServer;

/**
 * Fake of the cloud API calls that one node makes on behalf of all nodes. It refuses a
 * call whose fencing token is lower than an earlier one for the same path, service and
 * zone, and keeps the accepted calls.
 */
public final class FakeCloudDuties implements AutoCloseable {

	private final List<Call> accepted = new CopyOnWriteArrayList<>();

	private final List<Call> received = new CopyOnWriteArrayList<>();

	private final Map<String, Long> highestToken = new ConcurrentHashMap<>();

	private final LoopbackHttpServer server;

	private volatile boolean answersLost;

	private volatile boolean checksTokens = true;

	private volatile boolean failing;

	/**
	 * Start the API on a free port.
	 */
	public FakeCloudDuties() {
		this.server = new LoopbackHttpServer(0, this::handle);
	}

	private void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		JsonNode body = Json.parse(Json.body(exchange));
		long token = Long.parseLong(exchange.getRequestHeaders().getFirst("Fence-Token"));
		String fencedResource = path + "/" + body.path("service").asText() + "/" + body.path("zone").asText();
		Call call = new Call(path, token, exchange.getRequestHeaders().getFirst("Duty-Holder"),
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), body);
		this.received.add(call);
		if (this.checksTokens && token < this.highestToken.getOrDefault(fencedResource, 0L)) {
			Json.answer(exchange, 409, Map.of("reason", "fenced"));
			return;
		}
		this.highestToken.put(fencedResource, token);
		this.accepted.add(call);
		if (this.answersLost) {
			exchange.close();
		}
		else if (this.failing) {
			Json.answer(exchange, 503, Map.of());
		}
		else {
			Json.answer(exchange, 200, Map.of());
		}
	}

	/**
	 * Record a fencing token for a call without service and zone, as if a newer holder of
	 * the duty had made that call.
	 * @param path the path of the call
	 * @param token the fencing token
	 */
	public void fence(String path, long token) {
		this.highestToken.put(path + "//", token);
	}

	/**
	 * Set whether the answers of accepted calls are lost.
	 * @param lose {@code true} to execute calls and send no answer
	 */
	public void setLosesAnswers(boolean lose) {
		this.answersLost = lose;
	}

	/**
	 * Set whether calls with a lower fencing token than an earlier one are refused.
	 * @param checks {@code false} to accept all calls
	 */
	public void setChecksTokens(boolean checks) {
		this.checksTokens = checks;
	}

	/**
	 * Set whether calls are kept like accepted ones but answered with status 503, so that
	 * nodes repeat them.
	 * @param fails {@code true} to answer all calls so
	 */
	public void setFailing(boolean fails) {
		this.failing = fails;
	}

	/**
	 * Return the accepted calls of a path.
	 * @param path the path of the calls
	 * @return the calls in the order of their arrival
	 */
	public List<Call> accepted(String path) {
		return this.accepted.stream().filter((call) -> call.path().equals(path)).toList();
	}

	/**
	 * Return all calls, refused ones too.
	 * @return the calls in the order of their arrival
	 */
	public List<Call> received() {
		return List.copyOf(this.received);
	}

	/**
	 * Return the accepted calls of all paths.
	 * @return the calls in the order of their arrival
	 */
	public List<Call> accepted() {
		return List.copyOf(this.accepted);
	}

	/**
	 * Return the address on which the API listens.
	 * @return the address as {@code IP:PORT}
	 */
	public String address() {
		return this.server.address();
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * A call.
	 *
	 * @param path the path
	 * @param token the fencing token
	 * @param holder the name of the node that made the call
	 * @param arrivedAtMillis when it arrived, in milliseconds of the monotonic clock
	 * @param body the parsed JSON body
	 */
	public record Call(String path, long token, String holder, long arrivedAtMillis, JsonNode body) {
	}

}
