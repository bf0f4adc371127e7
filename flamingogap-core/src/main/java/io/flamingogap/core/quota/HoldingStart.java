package io.flamingogap.core.quota;

import java.util.Collection;
import java.util.OptionalLong;

/**
 * How a node comes to hold a share of a quota. Determines what it may spend at first.
 */
public enum HoldingStart {

	/** Nobody has spent any of the quota yet. */
	UNSPENT(0) {
		@Override
		double initialLevel(double ratePerSecond, double capacity) {
			return capacity;
		}
	},

	/**
	 * The previous run of the node held the share and may have spent all of it. The units
	 * of one second are available, as many as the restart of a node takes.
	 */
	RESTARTED(0) {
		@Override
		double initialLevel(double ratePerSecond, double capacity) {
			return Math.min(ratePerSecond, capacity);
		}
	},

	/**
	 * Another node held the share, and may still spend it until it learns of the new
	 * holder.
	 */
	TAKEN_OVER(6_000) {
		@Override
		double initialLevel(double ratePerSecond, double capacity) {
			return 0;
		}
	};

	/**
	 * Number of reports after which a run surely spends the shares that it holds. Reports
	 * are written every 1.5 seconds.
	 */
	private static final long ESTABLISHED_REPORTS = 7;

	private final long delayMillis;

	HoldingStart(long delayMillis) {
		this.delayMillis = delayMillis;
	}

	/**
	 * Return how a node that isn't new comes to hold shares when it starts.
	 * @param previousRunReports how many reports the previous run of the node wrote;
	 * empty if the other nodes may not know that run any more
	 * @param otherRunReports how many reports the current run of each other node that has
	 * reported recently wrote
	 * @return {@link #RESTARTED} if no other node can have taken the shares over, or
	 * still spend shares that the previous run was about to take over
	 */
	public static HoldingStart afterRestart(OptionalLong previousRunReports, Collection<Long> otherRunReports) {
		if (previousRunReports.isEmpty()) {
			return otherRunReports.isEmpty() ? RESTARTED : TAKEN_OVER;
		}
		boolean isEstablished = previousRunReports.getAsLong() >= ESTABLISHED_REPORTS
				|| otherRunReports.stream().noneMatch((reports) -> reports >= ESTABLISHED_REPORTS);
		return isEstablished ? RESTARTED : TAKEN_OVER;
	}

	/**
	 * Return how long the node must not spend anything.
	 * @return the time in milliseconds; longer than all nodes take to learn of a change
	 * of the members
	 */
	long delayMillis() {
		return this.delayMillis;
	}

	/**
	 * Return the units that are available after the delay.
	 * @param ratePerSecond the units per second of the share
	 * @param capacity the burst of the share
	 * @return the units
	 */
	abstract double initialLevel(double ratePerSecond, double capacity);

}
