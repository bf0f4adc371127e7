package io.flamingogap.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * HTTP client for the operator API of one entry node.
 */
final class NodeClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private static final int FIRST_ERROR_STATUS = 400;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(3))
		.build();

	private final String address;

	private final String key;

	NodeClient(String address, String key) {
		this.address = address;
		this.key = key;
	}

	NodeClient withAddress(String otherAddress) {
		return new NodeClient(otherAddress, this.key);
	}

	String address() {
		return this.address;
	}

	JsonNode get(String resource) {
		return call(request(resource).GET().build());
	}

	JsonNode post(String resource, String body) {
		return call(request(resource).POST(HttpRequest.BodyPublishers.ofString(body)).build());
	}

	private HttpRequest.Builder request(String resource) {
		return HttpRequest.newBuilder(URI.create("http://" + this.address + "/operator/v1/" + resource))
			.timeout(REQUEST_TIMEOUT)
			.header("Authorization", "Bearer " + this.key);
	}

	private JsonNode call(HttpRequest request) {
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			JsonNode body = MAPPER.readTree(response.body());
			if (response.statusCode() >= FIRST_ERROR_STATUS) {
				throw new CliException(ExitStatus.FAILED, formatProblem(response.statusCode(), body));
			}
			return body;
		}
		catch (IOException ex) {
			throw new CliException(ExitStatus.UNREACHABLE, "node " + this.address + " is unreachable: " + ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CliException(ExitStatus.UNREACHABLE, "interrupted");
		}
	}

	private static String formatProblem(int status, JsonNode body) {
		return body.path("title").asText("status " + status) + ": " + body.path("detail").asText() + " (step "
				+ body.path("step").asText("unknown") + ", peer " + body.path("peer").asText("unknown") + ", execution "
				+ body.path("execution").asText("unknown") + ")";
	}

}
