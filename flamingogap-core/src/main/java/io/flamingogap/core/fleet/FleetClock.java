package io.flamingogap.core.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Corrects this node's time of day with the clocks that other nodes report, since a
 * node's time of day may jump. If it differs too much from the median of the reported
 * clocks, the median is used instead.
 * <p>
 * Not thread-safe.
 */
public final class FleetClock {

	/** Maximum difference between correct clocks. A larger difference is a jump. */
	private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 1_500;

	/** Minimum number of reported clocks for a correction. */
	private static final int MIN_CLOCKS = 2;

	/** Mean delay of a report: half of the interval at which reports are read. */
	private static final long REPORT_DELAY_MILLIS = 500;

	/**
	 * The number of reports of a node that count. A report that arrives late makes its
	 * clock seem late, so the least late of several tells most.
	 */
	private static final int REPORTS_PER_NODE = 4;

	private final Map<String, Deque<Long>> offsetsMillisByNode = new HashMap<>();

	/**
	 * Record the time of day that another node reported.
	 * @param node the name of the node
	 * @param timeOfDayMillis the node's time of day, in milliseconds since 1970 UTC
	 * @param monotonicMillis when the report was read, in milliseconds of a monotonic
	 * clock
	 */
	public void record(String node, long timeOfDayMillis, long monotonicMillis) {
		Deque<Long> offsets = this.offsetsMillisByNode.computeIfAbsent(node, (name) -> new ArrayDeque<>());
		offsets.addLast(timeOfDayMillis + REPORT_DELAY_MILLIS - monotonicMillis);
		if (offsets.size() > REPORTS_PER_NODE) {
			offsets.removeFirst();
		}
	}

	/**
	 * Remove the clock of a node.
	 * @param node the name of the node, which may be unknown
	 */
	public void forget(String node) {
		this.offsetsMillisByNode.remove(node);
	}

	/**
	 * Return the time of day, corrected with the median of the reported clocks.
	 * @param timeOfDayMillis the time of day of this node, in milliseconds since 1970 UTC
	 * @param monotonicMillis the current time of a monotonic clock, in milliseconds
	 * @return milliseconds since 1970 UTC; this node's own time of day if it agrees with
	 * the median or too few clocks are known
	 */
	public long correctedTimeOfDayMillis(long timeOfDayMillis, long monotonicMillis) {
		if (this.offsetsMillisByNode.size() < MIN_CLOCKS) {
			return timeOfDayMillis;
		}
		List<Long> sorted = new ArrayList<>(this.offsetsMillisByNode.values().stream().map(Collections::max).toList());
		Collections.sort(sorted);
		long median = sorted.get(sorted.size() / 2) + monotonicMillis;
		return (Math.abs(median - timeOfDayMillis) > MAX_CLOCK_DIFFERENCE_MILLIS) ? median : timeOfDayMillis;
	}

}
