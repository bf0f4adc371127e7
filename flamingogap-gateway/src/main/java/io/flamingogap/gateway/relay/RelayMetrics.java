package io.flamingogap.gateway.relay;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Counts of the request path. Written on the event loop, read there by the metrics page.
 */
public final class RelayMetrics {

	/** Ten minutes; longer than any route's timeout. */
	private static final long MAX_LATENCY_MILLIS = 600_000;

	private final Map<String, Long> counts = new TreeMap<>();

	private final Map<String, Histogram> latencies = new TreeMap<>();

	private int open;

	private long bufferedBytes;

	/**
	 * Count an event.
	 * @param name the name of the counter
	 */
	public void count(String name) {
		this.counts.merge(name, 1L, Long::sum);
	}

	/**
	 * Record a latency.
	 * @param name the name of the histogram
	 * @param millis the latency in milliseconds
	 */
	public void recordLatency(String name, long millis) {
		this.latencies.computeIfAbsent(name, (created) -> new Histogram(MAX_LATENCY_MILLIS, 2))
			.recordValue(Math.min(MAX_LATENCY_MILLIS, Math.max(0, millis)));
	}

	void requestOpened(long bytes) {
		this.open++;
		this.bufferedBytes += bytes;
	}

	void requestClosed(long bytes) {
		this.open--;
		this.bufferedBytes -= bytes;
	}

	/**
	 * Return the requests that are open.
	 * @return the number
	 */
	public int openRequests() {
		return this.open;
	}

	long bufferedBytes() {
		return this.bufferedBytes;
	}

	/**
	 * Return the counters.
	 * @return counts by name
	 */
	public Map<String, Long> counts() {
		return Map.copyOf(this.counts);
	}

	/**
	 * Return the histograms.
	 * @return latencies in milliseconds by name
	 */
	public Map<String, Histogram> latencies() {
		return Map.copyOf(this.latencies);
	}

}
