package io.flamingogap.gateway.backends;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The status and headers of a backend server's response, with the meaning that the
 * {@link BackendProtocol} derived from them.
 *
 * @param status the HTTP status
 * @param headers the headers to forward to the caller
 * @param verdict what the status and headers show about the request: whether this is its
 * response, or why it isn't
 * @param namesAttempt whether the response names the attempt that it answers
 * @param leaving whether the server says that it is leaving
 * @param pauseMillis how long the server wants no requests, in milliseconds; empty if it
 * didn't ask for a pause
 * @param load the load that the server reported; empty if it reported none
 * @param keepAliveMillis how long the connection can be reused while it is idle, in
 * milliseconds; 0 if it ends with this response
 */
public record BackendResponseHead(HttpResponseStatus status, HttpHeaders headers, Verdict verdict, boolean namesAttempt,
		boolean leaving, OptionalLong pauseMillis, Optional<ReportedLoad> load, long keepAliveMillis) {

	public BackendResponseHead {
		Objects.requireNonNull(verdict, "verdict must not be null");
		Objects.requireNonNull(pauseMillis, "pauseMillis must not be null");
		Objects.requireNonNull(load, "load must not be null");
	}

	/**
	 * Return this head as it counts on a connection that has carried other requests. A
	 * refusal that names no attempt is the repeated answer to one of them: servers name
	 * the attempt that they refuse.
	 * @return this head, or a copy that is an {@link Verdict#ATTEMPT_MISMATCH}
	 */
	BackendResponseHead onKeptConnection() {
		return (this.verdict.isRefusal() && !this.namesAttempt) ? new BackendResponseHead(this.status, this.headers,
				Verdict.ATTEMPT_MISMATCH, false, this.leaving, this.pauseMillis, this.load, this.keepAliveMillis)
				: this;
	}

	/**
	 * Classification of a response by its head.
	 */
	public enum Verdict {

		/** The server ran the request and this is its response. */
		ANSWERED,

		/** The server did not run the request and will not run it. */
		REJECTED,

		/** The address now belongs to a different server. */
		MISDIRECTED,

		/** The response belongs to a different attempt. */
		ATTEMPT_MISMATCH,

		/** The response lacks the proof that it came from the server. */
		UNVERIFIED;

		/**
		 * Return whether the response promises that the server did not run the request.
		 * @return {@code true} if the request may be sent to another server
		 */
		boolean isRefusal() {
			return this == REJECTED || this == MISDIRECTED;
		}

	}

	/**
	 * The load that a server reported with a response.
	 *
	 * @param runningRequests the number of requests being processed
	 * @param queuedRequests the number of requests waiting in the server's queue
	 * @param slots the number of requests that the server runs concurrently; empty if it
	 * wasn't reported
	 * @param slowness how long work takes on the server's machine at the moment, as a
	 * multiple of the usual time; empty if it wasn't reported
	 */
	public record ReportedLoad(int runningRequests, int queuedRequests, OptionalInt slots, OptionalDouble slowness) {

		public ReportedLoad {
			Objects.requireNonNull(slots, "slots must not be null");
			Objects.requireNonNull(slowness, "slowness must not be null");
		}

	}

}
