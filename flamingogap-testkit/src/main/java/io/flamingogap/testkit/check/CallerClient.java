package io.flamingogap.testkit.check;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

import io.flamingogap.testkit.http.Json;

/**
 * Caller that follows the interface page: asks any node for the entry nodes to use and
 * connects to them directly. Keeping an entry answer for its time to live is left to the
 * user of this class.
 */
public final class CallerClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final String ID_FIELD = "id: ";

	private static final String DATA_FIELD = "data: ";

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.followRedirects(HttpClient.Redirect.NEVER)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	private final String key;

	/**
	 * Create a caller.
	 * @param key the bearer key of the caller's account
	 */
	public CallerClient(String key) {
		this.key = key;
	}

	/**
	 * Ask a node which entry nodes to use.
	 * @param address the caller address of any node
	 * @return the entry nodes and how long they may be used
	 */
	public EntryReply entry(String address) {
		JsonNode body = Json.parse(send(request(address, "/v1/entry").GET().build()).body());
		List<EntryNodeReply> nodes = new ArrayList<>();
		body.get("nodes")
			.forEach((node) -> nodes.add(new EntryNodeReply(node.get("address").asText(), node.get("zone").asText(),
					node.get("keyPrefix").asText())));
		return new EntryReply(body.get("ttlMillis").asLong(), nodes);
	}

	/**
	 * Create a random idempotency key.
	 * @param node the node whose prefix the key begins with
	 * @return the key
	 */
	public String newKey(EntryNodeReply node) {
		return node.keyPrefix() + UUID.randomUUID();
	}

	/**
	 * Send a call to a plain service.
	 * @param address the caller address of a node
	 * @param method the HTTP method
	 * @param path the path
	 * @param idempotencyKey the key of a call that must not be repeated; empty for others
	 * @param body the body
	 * @return the reply
	 */
	public Reply call(String address, String method, String path, Optional<String> idempotencyKey, String body) {
		HttpRequest.Builder request = request(address, path).method(method, HttpRequest.BodyPublishers.ofString(body));
		idempotencyKey.ifPresent((value) -> request.header("Idempotency-Key", value));
		HttpResponse<String> response = send(request.build());
		return new Reply(response.statusCode(), response.body());
	}

	/**
	 * Send a call to a plain service with a deadline.
	 * @param address the caller address of a node
	 * @param method the HTTP method
	 * @param path the path
	 * @param idempotencyKey the key of a call that must not be repeated; empty for others
	 * @param body the body
	 * @param deadlineMillis the time that the caller allows, in milliseconds
	 * @return the reply
	 */
	public Reply callWithin(String address, String method, String path, Optional<String> idempotencyKey, String body,
			long deadlineMillis) {
		HttpRequest.Builder request = request(address, path).method(method, HttpRequest.BodyPublishers.ofString(body));
		request.header("X-Deadline-Millis", String.valueOf(deadlineMillis));
		idempotencyKey.ifPresent((value) -> request.header("Idempotency-Key", value));
		HttpResponse<String> response = send(request.build());
		return new Reply(response.statusCode(), response.body());
	}

	/**
	 * Request a streamed answer of a model and read it to its end.
	 * @param address the caller address of a node
	 * @param body the request as JSON
	 * @param lastEventId the id of the last event received, to resume after it; empty to
	 * start
	 * @return the answer, or the part of it that arrived before the connection broke
	 */
	public StreamReply stream(String address, String body, Optional<String> lastEventId) {
		HttpRequest.Builder request = request(address, "/v1/chat/completions")
			.POST(HttpRequest.BodyPublishers.ofString(body));
		lastEventId.ifPresent((value) -> request.header("Last-Event-ID", value));
		try {
			HttpResponse<Stream<String>> response = this.client.send(request.build(),
					HttpResponse.BodyHandlers.ofLines());
			return read(response);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	private static StreamReply read(HttpResponse<Stream<String>> response) {
		StringBuilder text = new StringBuilder();
		List<String> ids = new ArrayList<>();
		boolean[] done = new boolean[1];
		try (Stream<String> lines = response.body()) {
			lines.forEach((line) -> {
				if (line.startsWith(ID_FIELD)) {
					ids.add(line.substring(ID_FIELD.length()));
				}
				else if (line.equals(DATA_FIELD + "[DONE]")) {
					done[0] = true;
				}
				else if (line.startsWith(DATA_FIELD)) {
					JsonNode data = Json.parse(line.substring(DATA_FIELD.length()));
					text.append(data.path("choices").path(0).path("delta").path("content").asText());
				}
			});
		}
		catch (UncheckedIOException ex) {
			return new StreamReply(response.statusCode(), text.toString(), ids, false);
		}
		return new StreamReply(response.statusCode(), text.toString(), ids, done[0]);
	}

	private HttpRequest.Builder request(String address, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(TIMEOUT)
			.header("Content-Type", "application/json")
			.header("Authorization", "Bearer " + this.key);
	}

	private HttpResponse<String> send(HttpRequest request) {
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	/**
	 * An entry answer.
	 *
	 * @param ttlMillis how long it may be kept, in milliseconds
	 * @param nodes the nodes in the order in which to try them
	 */
	public record EntryReply(long ttlMillis, List<EntryNodeReply> nodes) {
	}

	/**
	 * One node of an entry answer.
	 *
	 * @param address the address as {@code IP:PORT}
	 * @param zone the availability zone
	 * @param keyPrefix the prefix of idempotency keys for this node
	 */
	public record EntryNodeReply(String address, String zone, String keyPrefix) {
	}

	/**
	 * Response of a plain service.
	 *
	 * @param status the HTTP status
	 * @param body the response body
	 */
	public record Reply(int status, String body) {
	}

	/**
	 * Streamed answer of a model.
	 *
	 * @param status the HTTP status
	 * @param text the concatenated tokens
	 * @param ids the ids of the events in the order of their arrival
	 * @param whole whether the end marker of the answer was received
	 */
	public record StreamReply(int status, String text, List<String> ids, boolean whole) {
	}

}
