package io.flamingogap.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The true time of day as most nodes see it. The time of day of a node may jump; a node
 * whose clock disagrees with the median of the fleet follows the fleet.
 * <p>
 * Not safe for use by several threads.
 */
public final class FleetClock {

	/** Clocks of machines differ by less; a larger difference is a jump. */
	private static final long MAX_DIFFERENCE_MILLIS = 1_500;

	/** Fewer clocks can't outvote a node's own. */
	private static final int MIN_CLOCKS = 2;

	/** Reports reach other nodes about this late: the pause between reads, halved. */
	private static final long REPORT_DELAY_MILLIS = 500;

	private final Map<String, Long> offsets = new HashMap<>();

	/**
	 * Record the time of day that another node reported.
	 * @param node the name of the node
	 * @param timeOfDayMillis its time of day
	 * @param steadyMillis when the report was heard, by a clock that never jumps
	 */
	public void record(String node, long timeOfDayMillis, long steadyMillis) {
		this.offsets.put(node, timeOfDayMillis + REPORT_DELAY_MILLIS - steadyMillis);
	}

	/**
	 * Forget a node.
	 * @param node the name of the node
	 */
	public void forget(String node) {
		this.offsets.remove(node);
	}

	/**
	 * Return the true time of day.
	 * @param timeOfDayMillis the time of day of this node
	 * @param steadyMillis the present time by a clock that never jumps
	 * @return milliseconds since 1970 UTC
	 */
	public long correctedTimeOfDayMillis(long timeOfDayMillis, long steadyMillis) {
		if (this.offsets.size() < MIN_CLOCKS) {
			return timeOfDayMillis;
		}
		List<Long> sorted = new ArrayList<>(this.offsets.values());
		Collections.sort(sorted);
		long median = sorted.get(sorted.size() / 2) + steadyMillis;
		return (Math.abs(median - timeOfDayMillis) > MAX_DIFFERENCE_MILLIS) ? median : timeOfDayMillis;
	}

}
