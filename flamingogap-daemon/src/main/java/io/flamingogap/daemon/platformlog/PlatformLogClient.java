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
 * HTTP client of the platform log.
 */
public final class PlatformLogClient {

	/** Stream on which operators publish manifests. */
	public static final String CONFIG_STREAM = "config";

	/** Stream of accepted, dispatched and ended keyed requests. */
	public static final String REQUEST_STREAM = "requests";

	/** Stream of take-backs of rollouts. */
	public static final String ROLLOUT_STREAM = "rollouts";

	/** Stream of the audit trail. */
	public static final String AUDIT_STREAM = "audit";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int OK = 200;

	private final HttpClient client;

	private final Address address;

	private final long timeoutMillis;

	/**
	 * Create a client.
	 * @param client the HTTP client to use
	 * @param address the address of the platform log
	 * @param timeoutMillis the timeout of a call, in addition to the time for which a
	 * read may wait for records
	 */
	public PlatformLogClient(HttpClient client, Address address, long timeoutMillis) {
		this.client = client;
		this.address = address;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Append a record. After a failure the record may have been appended nevertheless.
	 * @param stream the name of the stream
	 * @param body the body of the record
	 * @return the offset of the record, or why it is not known
	 */
	public Either<Failure, Long> append(String stream, String body) {
		HttpRequest request = request("/v1/streams/" + stream + "/records", 0)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return call(request, Step.APPEND, Appended.class).map(Appended::offset);
	}

	/**
	 * Read records.
	 * @param stream the name of the stream
	 * @param fromOffset the first offset to read
	 * @param maxRecords the maximum number of records
	 * @param waitMillis the time for which the log waits if there is no record yet
	 * @return the records, or why they can't be read
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
	 * Page of records of a stream.
	 *
	 * @param firstOffset the first offset that the log still retains
	 * @param headOffset the offset of the last record of the stream
	 * @param records the records in the order of their offsets
	 */
	public record LogPage(long firstOffset, long headOffset, List<LogRecord> records) {
	}

	/**
	 * Record of a stream.
	 *
	 * @param offset the position in the stream; the first is 1
	 * @param body the content, usually a JSON document
	 */
	public record LogRecord(long offset, String body) {
	}

	private record Appended(long offset) {
	}

}
