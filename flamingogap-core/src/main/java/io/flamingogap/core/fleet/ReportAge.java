package io.flamingogap.core.fleet;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;

import org.jspecify.annotations.Nullable;

/**
 * Estimates how long ago a report of one node was made. The node's time of day tells it
 * up to a constant, which is learnt from the recent report that arrived the fastest. A
 * clock that was set back starts the estimate again: reports then lie less than an
 * interval apart.
 * <p>
 * Not thread-safe.
 */
final class ReportAge {

	/** Reports less than this share of the interval apart show that a clock was set. */
	private static final double MIN_INTERVAL_SHARE = 0.8;

	/** Few enough that a clock that runs slowly makes no difference. */
	private static final int MAX_LAGS = 8;

	private final long intervalMillis;

	private @Nullable NodeReport last;

	private final Deque<Long> recentLagsMillis = new ArrayDeque<>();

	/**
	 * Create an estimate.
	 * @param intervalMillis the interval between two reports of a node, in milliseconds
	 */
	ReportAge(long intervalMillis) {
		this.intervalMillis = intervalMillis;
	}

	/**
	 * Return the age of a report beyond that of the fastest one.
	 * @param report the node's newest report
	 * @param nowMillis when it was received, by the monotonic clock of this node
	 * @return the age in milliseconds, at least 0; 0 for the first report of a run
	 */
	long estimateMillis(NodeReport report, long nowMillis) {
		long lagMillis = nowMillis - report.timeOfDayMillis();
		NodeReport previous = this.last;
		boolean isComparable = previous != null && previous.node().equals(report.node())
				&& report.timeOfDayMillis() - previous.timeOfDayMillis() >= (report.sequence() - previous.sequence())
						* this.intervalMillis * MIN_INTERVAL_SHARE;
		if (!isComparable) {
			this.recentLagsMillis.clear();
		}
		this.recentLagsMillis.addLast(lagMillis);
		if (this.recentLagsMillis.size() > MAX_LAGS) {
			this.recentLagsMillis.removeFirst();
		}
		this.last = report;
		return lagMillis - Collections.min(this.recentLagsMillis);
	}

}
