package io.flamingogap.core.serving;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the most bytes of a request head
 * @param maxBodyBytes the most bytes of a request body
 * @param headerTimeoutMillis the longest that a request head may take to arrive
 * @param idleTimeoutMillis how long a connection may stay without a request
 */
public record ListenerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Limits in force until a configuration is known. */
	public static final ListenerLimits DEFAULT = new ListenerLimits(16_384, 4_194_304, 3_000, 15_000);

	public ListenerLimits {
		if (maxHeaderBytes < 1 || maxBodyBytes < 0 || headerTimeoutMillis < 1 || idleTimeoutMillis < 1) {
			throw new IllegalArgumentException("limits must be positive but were " + maxHeaderBytes + ", "
					+ maxBodyBytes + ", " + headerTimeoutMillis + ", " + idleTimeoutMillis);
		}
	}

}
