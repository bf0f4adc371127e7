package io.flamingogap.gateway.relay;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Counters and latency histograms of relayed and refused requests.
 * <p>
 * Not thread-safe; written and read on the event loop, also by the metrics page.
 */
public final class RelayMetrics {

	/**
	 * Greater latencies are recorded as this value. It should exceed the timeout of every
	 * route.
	 */
	private static final long MAX_LATENCY_MILLIS = 600_000;

	private final Map<String, Long> counts = new TreeMap<>();

	private final Map<String, Histogram> latencies = new TreeMap<>();

	private int openRequests;

	private long requestBodyBytes;

	/**
	 * Increment a counter.
	 * @param name the name of the counter; created at 0 if it does not exist
	 */
	public void increment(String name) {
		this.counts.merge(name, 1L, Long::sum);
	}

	/**
	 * Record a latency.
	 * @param name the name of the histogram; created if it does not exist
	 * @param millis the latency in milliseconds
	 */
	public void recordLatency(String name, long millis) {
		this.latencies.computeIfAbsent(name, (key) -> new Histogram(MAX_LATENCY_MILLIS, 2))
			.recordValue(Math.min(MAX_LATENCY_MILLIS, Math.max(0, millis)));
	}

	void requestOpened(long bytes) {
		this.openRequests++;
		this.requestBodyBytes += bytes;
	}

	void requestClosed(long bytes) {
		this.openRequests--;
		this.requestBodyBytes -= bytes;
	}

	/**
	 * Return the number of requests that are being relayed.
	 * @return the number now
	 */
	public int openRequests() {
		return this.openRequests;
	}

	long requestBodyBytes() {
		return this.requestBodyBytes;
	}

	/**
	 * Return a copy of the counters.
	 * @return counts by name, since the node started
	 */
	public Map<String, Long> counts() {
		return Map.copyOf(this.counts);
	}

	/**
	 * Return the latency histograms.
	 * @return latencies in milliseconds by name
	 */
	public Map<String, Histogram> latencies() {
		return Map.copyOf(this.latencies);
	}

}
