package io.flamingogap.testkit.platform;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;

import io.flamingogap.testkit.http.Json;
import io.flamingogap.testkit.http.LoopbackHttpServer;

/**
 * Fake of the cloud API: the list of live and leaving instances, and reclaim notices.
 * <ul>
 * <li>{@code GET /v1/instances} answers {@code {"instances": [{"name", "zone", "state",
 * "nodeAddress"}]}}, state {@code live} or {@code leaving}; {@code nodeAddress} is empty
 * except for entry instances.</li>
 * <li>{@code GET /v1/notices} answers {@code {"notices": [{"instance",
 * "reclaimAtMillis"}]}}.</li>
 * <li>{@code POST /control/instances}, {@code POST /control/notices} and
 * {@code DELETE /control/notices} change the instances and notices.</li>
 * </ul>
 */
public final class FakeCloud implements AutoCloseable {

	private final Map<String, Instance> instances = new ConcurrentHashMap<>();

	private final Map<String, Notice> notices = new ConcurrentHashMap<>();

	private final LoopbackHttpServer server;

	/**
	 * Start a cloud.
	 * @param port the port; 0 for any free one
	 */
	public FakeCloud(int port) {
		this.server = new LoopbackHttpServer(port, this::handle);
	}

	private void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		if (path.startsWith("/control")) {
			control(exchange, path);
		}
		else if ("/v1/instances".equals(path)) {
			Json.answer(exchange, 200, Map.of("instances", List.copyOf(this.instances.values())));
		}
		else {
			Json.answer(exchange, 200, Map.of("notices", List.copyOf(this.notices.values())));
		}
	}

	private void control(HttpExchange exchange, String path) throws IOException {
		String text = Json.body(exchange);
		if ("DELETE".equals(exchange.getRequestMethod())) {
			this.notices.clear();
		}
		else if (path.endsWith("/instances")) {
			for (JsonNode node : Json.parse(text)) {
				putInstance(new Instance(node.get("name").asText(), node.get("zone").asText(),
						node.get("state").asText(), node.path("nodeAddress").asText("")));
			}
		}
		else {
			JsonNode node = Json.parse(text);
			giveNotice(node.get("instance").asText(), node.get("reclaimAtMillis").asLong());
		}
		Json.answer(exchange, 200, Map.of());
	}

	/**
	 * Add an instance or replace the one with the same name.
	 * @param instance the new row
	 */
	public void putInstance(Instance instance) {
		this.instances.put(instance.name(), instance);
	}

	/**
	 * Announce that an instance will be reclaimed.
	 * @param instance the name of the instance
	 * @param reclaimAtMillis the time of the reclaim in milliseconds since 1970 UTC
	 */
	public void giveNotice(String instance, long reclaimAtMillis) {
		this.notices.put(instance, new Notice(instance, reclaimAtMillis));
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
	 * A row of the instance list.
	 *
	 * @param name the name of the instance
	 * @param zone the availability zone of the instance
	 * @param state {@code live} or {@code leaving}
	 * @param nodeAddress the address on which an entry instance listens for other nodes;
	 * empty for other instances
	 */
	public record Instance(String name, String zone, String state, String nodeAddress) {
	}

	/**
	 * A reclaim notice.
	 *
	 * @param instance the name of the instance
	 * @param reclaimAtMillis the time of the reclaim in milliseconds since 1970 UTC
	 */
	public record Notice(String instance, long reclaimAtMillis) {
	}

}
