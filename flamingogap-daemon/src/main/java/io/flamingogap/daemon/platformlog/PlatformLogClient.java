package io.flamingogap.daemon.platformlog;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.node.Address;

/**
 * Client of the platform log.
 */
public final class PlatformLogClient {

	/** The stream on which operators publish manifests. */
	public static final String CONFIG_STREAM = "config";

	/** The stream of accepted, dispatched and ended keyed requests. */
	public static final String REQUEST_STREAM = "requests";

	/** The stream of take-backs. */
	public static final String ROLLOUT_STREAM = "rollouts";

	/** The stream of the audit trail. */
	public static final String AUDIT_STREAM = "audit";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int OK = 200;

	private final HttpClient client;

	private final Address address;

	private final long timeoutMillis;

	/**
	 * Create a client.
	 * @param client the HTTP client to use
	 * @param address where the log is
	 * @param timeoutMillis how long a call may take, beyond the time it is asked to wait
	 */
	public PlatformLogClient(HttpClient client, Address address, long timeoutMillis) {
		this.client = client;
		this.address = address;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Append a record. A failure doesn't mean that it was not appended.
	 * @param stream the stream
	 * @param body the record
	 * @return the offset
	 */
	public Either<Failure, Long> append(String stream, String body) {
		HttpRequest request = request("/v1/streams/" + stream + "/records", 0)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return call(request, Step.APPEND, Appended.class).map(Appended::offset);
	}

	/**
	 * Read records.
	 * @param stream the stream
	 * @param fromOffset the first offset to read
	 * @param maxRecords the most records to read
	 * @param waitMillis how long the log may wait for a first record
	 * @return the records
	 */
	public Either<Failure, LogPage> read(String stream, long fromOffset, int maxRecords, long waitMillis) {
		String path = "/v1/streams/" + stream + "/records?from=" + fromOffset + "&max=" + maxRecords + "&waitMillis="
				+ waitMillis;
		return call(request(path, waitMillis).GET().build(), Step.READ, LogPage.class);
	}

	private HttpRequest.Builder request(String path, long waitMillis) {
		return HttpRequest.newBuilder(URI.create("http://" + this.address + path))
			.timeout(Duration.ofMillis(this.timeoutMillis + waitMillis));
	}

	private <T> Either<Failure, T> call(HttpRequest request, Step step, Class<T> type) {
		try {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() != OK) {
				return Either.left(unavailable(step, "status " + response.statusCode()));
			}
			return Either.right(MAPPER.readValue(response.body(), type));
		}
		catch (IOException ex) {
			return Either.left(unavailable(step, String.valueOf(ex.getMessage())));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Either.left(unavailable(step, "interrupted"));
		}
	}

	private Failure unavailable(Step step, String detail) {
		Execution execution = (step == Step.APPEND) ? Execution.UNKNOWN : Execution.NOT_RUN;
		return new Failure(ProblemType.LOG_UNAVAILABLE, step, "platform log " + this.address, execution, detail);
	}

	/**
	 * Records of a stream.
	 *
	 * @param firstOffset the first offset that the log still holds
	 * @param headOffset the offset of the last record
	 * @param records the records
	 */
	public record LogPage(long firstOffset, long headOffset, List<LogRecord> records) {
	}

	/**
	 * A record.
	 *
	 * @param offset its offset
	 * @param body its body
	 */
	public record LogRecord(long offset, String body) {
	}

	private record Appended(long offset) {
	}

}
