package io.flamingogap.testkit.metadata;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;

import io.flamingogap.testkit.http.Json;
import io.flamingogap.testkit.http.StandInServer;

/**
 * A stand-in for the cloud's calls that one node makes for all. It refuses lower fencing
 * tokens and keeps what it accepted.
 */
public final class FakeCloudDuties implements AutoCloseable {

	private final List<Call> accepted = new CopyOnWriteArrayList<>();

	private final Map<String, Long> highestToken = new ConcurrentHashMap<>();

	private final StandInServer server;

	private volatile boolean losesAnswers;

	/**
	 * Start a cloud on a free port.
	 */
	public FakeCloudDuties() {
		this.server = new StandInServer(0, this::handle);
	}

	private void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		JsonNode body = Json.parse(Json.body(exchange));
		long token = Long.parseLong(exchange.getRequestHeaders().getFirst("Fence-Token"));
		String subject = path + "/" + body.path("service").asText() + "/" + body.path("zone").asText();
		if (token < this.highestToken.getOrDefault(subject, 0L)) {
			Json.answer(exchange, 409, Map.of("reason", "fenced"));
			return;
		}
		this.highestToken.put(subject, token);
		this.accepted.add(new Call(path, token, body));
		if (this.losesAnswers) {
			exchange.close();
		}
		else {
			Json.answer(exchange, 200, Map.of());
		}
	}

	/**
	 * Raise the token that was seen, as another holder would.
	 * @param path the call
	 * @param token the token
	 */
	public void fence(String path, long token) {
		this.highestToken.put(path + "//", token);
	}

	/**
	 * Lose answers after calls took effect.
	 * @param lose whether to lose them
	 */
	public void setLosesAnswers(boolean lose) {
		this.losesAnswers = lose;
	}

	/**
	 * Return the calls that were accepted.
	 * @param path the call
	 * @return the calls, in order
	 */
	public List<Call> accepted(String path) {
		return this.accepted.stream().filter((call) -> call.path().equals(path)).toList();
	}

	/**
	 * Return the address of the cloud.
	 * @return the IP number and port
	 */
	public String address() {
		return this.server.address();
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * A call that was accepted.
	 *
	 * @param path the path
	 * @param token the fencing token
	 * @param body the body
	 */
	public record Call(String path, long token, JsonNode body) {
	}

}
