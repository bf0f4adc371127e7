package io.flamingogap.core.limits;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An account of the bytes of requests that a node holds, and the decision which of those
 * that are still arriving to give up when the sum exceeds a limit.
 * <p>
 * Not thread-safe.
 *
 * @param <T> a connection, on which one request arrives at a time
 */
public final class RequestBytes<T> {

	/**
	 * A request of which nothing has arrived for this time counts as stalled. Over a slow
	 * link, parts of it arrive more often.
	 */
	private static final long STALLED_MILLIS = 1_000;

	/** A connection that holds less isn't given up, so that short requests are served. */
	private static final long MIN_REFUSED_BYTES = 4_096;

	private final long maxBytes;

	/** In the order in which the requests began to arrive. */
	private final Map<T, Arrival> arrivals = new LinkedHashMap<>();

	private final Map<T, Long> complete = new LinkedHashMap<>();

	private long arrivingBytes;

	private long completeBytes;

	/**
	 * Create an account without requests.
	 * @param maxBytes the limit of the sum, in bytes
	 */
	public RequestBytes(long maxBytes) {
		if (maxBytes < 1) {
			throw new IllegalArgumentException("maxBytes must be positive but was " + maxBytes);
		}
		this.maxBytes = maxBytes;
	}

	/**
	 * Set what is held of the request that is arriving on a connection.
	 * @param connection the connection
	 * @param bytes the number of bytes; 0 if no request is arriving
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void setArriving(T connection, long bytes, long nowMillis) {
		if (bytes == 0) {
			Arrival removed = this.arrivals.remove(connection);
			this.arrivingBytes -= (removed != null) ? removed.bytes() : 0;
			return;
		}
		Arrival previous = this.arrivals.put(connection, new Arrival(bytes, nowMillis));
		this.arrivingBytes += bytes - ((previous != null) ? previous.bytes() : 0);
	}

	/**
	 * Set what is held of requests of a connection that have arrived and wait for their
	 * turn or are being served.
	 * @param connection the connection
	 * @param bytes the number of bytes; 0 for none
	 */
	public void setComplete(T connection, long bytes) {
		Long previous = (bytes > 0) ? this.complete.put(connection, bytes) : this.complete.remove(connection);
		this.completeBytes += bytes - ((previous != null) ? previous : 0);
	}

	/**
	 * Decide which arriving request to refuse next: of those that are stalled, the one
	 * that holds most, otherwise the newest that holds no less than the mean.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return its connection; empty if the limit isn't exceeded, or if only short
	 * requests are arriving
	 */
	public Optional<T> nextToRefuse(long nowMillis) {
		if (totalBytes() <= this.maxBytes || this.arrivals.isEmpty()) {
			return Optional.empty();
		}
		Optional<T> stalled = this.arrivals.entrySet()
			.stream()
			.filter((arrival) -> arrival.getValue().bytes() >= MIN_REFUSED_BYTES)
			.filter((arrival) -> nowMillis - arrival.getValue().progressAtMillis() >= STALLED_MILLIS)
			.max(Comparator.comparingLong((arrival) -> arrival.getValue().bytes()))
			.map(Map.Entry::getKey);
		return stalled.isPresent() ? stalled : newest(this.arrivingBytes / this.arrivals.size());
	}

	private Optional<T> newest(long meanBytes) {
		return this.arrivals.entrySet()
			.stream()
			.filter((arrival) -> arrival.getValue().bytes() >= Math.max(meanBytes, MIN_REFUSED_BYTES))
			.reduce((earlier, later) -> later)
			.map(Map.Entry::getKey);
	}

	/**
	 * Return the sum of what is held.
	 * @return the number of bytes
	 */
	public long totalBytes() {
		return this.arrivingBytes + this.completeBytes;
	}

	/**
	 * What is held of a request that is arriving.
	 *
	 * @param bytes the number of bytes
	 * @param progressAtMillis when the last of them arrived
	 */
	private record Arrival(long bytes, long progressAtMillis) {
	}

}
