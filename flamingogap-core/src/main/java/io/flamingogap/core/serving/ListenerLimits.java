package io.flamingogap.core.serving;

/**
 * Limits on the size and the duration of requests of callers.
 *
 * @param maxHeaderBytes the maximum size of a request head in bytes
 * @param maxBodyBytes the maximum size of a request body in bytes; 0 allows no body
 * @param headerTimeoutMillis the time within which a request head must have arrived
 * @param idleTimeoutMillis the time after which a connection without a request is closed
 */
public record ListenerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Limits that apply while no configuration sets any. */
	public static final ListenerLimits DEFAULT = new ListenerLimits(16_384, 4_194_304, 3_000, 15_000);

	public ListenerLimits {
		if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerTimeoutMillis < 1 || idleTimeoutMillis < 1) {
			throw new IllegalArgumentException(
					"maxHeaderBytes, maxBodyBytes, headerTimeoutMillis and idleTimeoutMillis must be positive (maxBodyBytes may be 0) but were "
							+ maxHeaderBytes + ", " + maxBodyBytes + ", " + headerTimeoutMillis + ", "
							+ idleTimeoutMillis);
		}
	}

}
