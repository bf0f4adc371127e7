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
 * Client of the cloud.
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
	 * @param address where the cloud's API is
	 */
	public CloudClient(HttpClient client, Address address) {
		this.client = client;
		this.address = address;
	}

	/**
	 * Return the reclaim notices.
	 * @return the notices, or why they can't be read
	 */
	public Either<Failure, List<Notice>> notices() {
		return get("/v1/notices", Notices.class).map(Notices::notices);
	}

	/**
	 * Return the instance list, which lags.
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
	 * A reclaim notice.
	 *
	 * @param instance the name of the instance
	 * @param reclaimAtMillis when it is taken away, in milliseconds since 1970 UTC
	 */
	public record Notice(String instance, long reclaimAtMillis) {
	}

	/**
	 * A row of the instance list.
	 *
	 * @param name the name of the instance
	 * @param zone its availability zone
	 * @param state {@code live} or {@code leaving}
	 * @param nodeAddress where an entry instance listens for other nodes; empty for
	 * others
	 */
	public record Instance(String name, String zone, String state, String nodeAddress) {

		/**
		 * Return whether the list marks the instance as leaving.
		 * @return {@code true} if it does
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
