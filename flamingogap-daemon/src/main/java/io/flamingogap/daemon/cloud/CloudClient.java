package io.flamingogap.daemon.cloud;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.node.Address;

/**
 * HTTP client of the cloud's API.
 */
public final class CloudClient {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int OK = 200;

	private static final long TIMEOUT_MILLIS = 1_000;

	private final HttpClient client;

	private final Address address;

	/**
	 * Create a client.
	 * @param client the HTTP client to use
	 * @param address the address of the API
	 */
	public CloudClient(HttpClient client, Address address) {
		this.client = client;
		this.address = address;
	}

	/**
	 * Read the reclaim notices for all instances.
	 * @return the notices, or why they can't be read
	 */
	public Either<Failure, List<Notice>> notices() {
		return get("/v1/notices", Notices.class).map(Notices::notices);
	}

	/**
	 * Read the instance list, which lags behind the actual state.
	 * @return the instances, or why they can't be read
	 */
	public Either<Failure, List<Instance>> instances() {
		return get("/v1/instances", Instances.class).map(Instances::instances);
	}

	private <T> Either<Failure, T> get(String path, Class<T> type) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.address + path))
			.timeout(Duration.ofMillis(TIMEOUT_MILLIS))
			.GET()
			.build();
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() != OK) {
				return Either.left(unavailable("status " + response.statusCode()));
			}
			return Either.right(MAPPER.readValue(response.body(), type));
		}
		catch (IOException ex) {
			return Either.left(unavailable(String.valueOf(ex.getMessage())));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(unavailable("interrupted"));
		}
	}

	private Failure unavailable(String detail) {
		return Failure.notRun(ProblemType.BACKEND_FAILED, Step.READ, "cloud " + this.address, detail);
	}

	/**
	 * Notice that the cloud will reclaim an instance.
	 *
	 * @param instance the name of the instance
	 * @param reclaimAtMillis the time of the reclaim, in milliseconds since 1970 UTC
	 */
	public record Notice(String instance, long reclaimAtMillis) {
	}

	/**
	 * Row of the instance list.
	 *
	 * @param name the name of the instance
	 * @param zone the availability zone of the instance
	 * @param state {@code live} or {@code leaving}
	 * @param nodeAddress the address on which an entry instance accepts other nodes;
	 * empty for other instances
	 */
	public record Instance(String name, String zone, String state, String nodeAddress) {

		/**
		 * Return whether the instance is about to be removed.
		 * @return {@code true} if the list marks it as leaving
		 */
		public boolean isLeaving() {
			return "leaving".equals(this.state);
		}

	}

	private record Notices(List<Notice> notices) {
	}

	private record Instances(List<Instance> instances) {
	}

}
