package io.flamingogap.gateway.backends;

import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The head of a backend server's answer, with what its headers say.
 *
 * @param status the status
 * @param headers the headers to pass on to the caller
 * @param verdict what the head says of the request
 * @param load the load that the server reports, if it does
 * @param idleMillis how long the server keeps the connection without requests; 0 if the
 * connection ends with the answer
 */
public record BackendResponseHead(HttpResponseStatus status, HttpHeaders headers, Verdict verdict,
		Optional<ReportedLoad> load, long idleMillis) {

	public BackendResponseHead {
		Objects.requireNonNull(verdict, "verdict must not be null");
		Objects.requireNonNull(load, "load must not be null");
	}

	/**
	 * What the head of an answer says of the request.
	 */
	public enum Verdict {

		/** The server ran the request and this is its answer. */
		ANSWERED,

		/** The server did not and will not run the request. */
		REJECTED,

		/** Another server has the address. */
		MISDIRECTED,

		/** The answer belongs to another request. */
		ATTEMPT_MISMATCH,

		/** The answer lacks what proves it to be the server's. */
		UNVERIFIED

	}

	/**
	 * The load that a server reports.
	 *
	 * @param running the requests that it runs
	 * @param waiting the requests in its queue
	 */
	public record ReportedLoad(int running, int waiting) {
	}

}
