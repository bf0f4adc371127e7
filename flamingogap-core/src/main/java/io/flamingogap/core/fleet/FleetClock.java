package io.flamingogap.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Corrects the time of day of this node by the clocks that nodes report. The time of day
 * of a node may jump; a node whose clock disagrees with the median of the reported ones
 * uses the median.
 * <p>
 * Not safe for use by several threads.
 */
public final class FleetClock {

	/** Instances' clocks differ by less than this. A larger difference is a jump. */
	private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 1_500;

	/** Fewer reported clocks can't overrule a node's own. */
	private static final int MIN_CLOCKS = 2;

	/** Mean delay of a report: half of the pause between two reads. */
	private static final long REPORT_DELAY_MILLIS = 500;

	private final Map<String, Long> offsetMillisByNode = new HashMap<>();

	/**
	 * Record the time of day that another node reported.
	 * @param node the name of the node
	 * @param timeOfDayMillis the node's time of day, in milliseconds since 1970 UTC
	 * @param steadyMillis when the report was read, in milliseconds of a monotonic clock
	 */
	public void record(String node, long timeOfDayMillis, long steadyMillis) {
		this.offsetMillisByNode.put(node, timeOfDayMillis + REPORT_DELAY_MILLIS - steadyMillis);
	}

	/**
	 * Drop the clock of a node.
	 * @param node the name of the node, which may be unknown
	 */
	public void forget(String node) {
		this.offsetMillisByNode.remove(node);
	}

	/**
	 * Return the time of day, corrected by the median of the reported clocks.
	 * @param timeOfDayMillis the time of day of this node, in milliseconds since 1970 UTC
	 * @param steadyMillis the current time of a monotonic clock, in milliseconds
	 * @return milliseconds since 1970 UTC; this node's own time of day if the clocks
	 * agree or too few are known
	 */
	public long correctedTimeOfDayMillis(long timeOfDayMillis, long steadyMillis) {
		if (this.offsetMillisByNode.size() < MIN_CLOCKS) {
			return timeOfDayMillis;
		}
		List<Long> sorted = new ArrayList<>(this.offsetMillisByNode.values());
		Collections.sort(sorted);
		long median = sorted.get(sorted.size() / 2) + steadyMillis;
		return (Math.abs(median - timeOfDayMillis) > MAX_CLOCK_DIFFERENCE_MILLIS) ? median : timeOfDayMillis;
	}

}
