package io.flamingogap.core.config;

/**
 * Utility that decides when a node publishes a configuration snapshot. A node waits
 * longer the more serving nodes come before it, so usually only one node publishes,
 * without a dedicated publisher.
 */
public final class SnapshotSchedule {

	private SnapshotSchedule() {
	}

	/**
	 * Return whether this node should publish a snapshot now.
	 * @param headOffset the offset of the last record
	 * @param lastSnapshotOffset the offset of the last snapshot in the stream; 0 for none
	 * @param maxRecords the number of records after a snapshot beyond which the next one
	 * is due without waiting for the interval
	 * @param uncoveredMillis the time for which the configuration in force has not been
	 * covered by a snapshot, in milliseconds; negative if a snapshot covers it
	 * @param intervalMillis the value of {@code uncoveredMillis} at which a snapshot is
	 * due
	 * @param nodesBefore the number of serving nodes that come before this one, 0 for the
	 * first
	 * @param delayPerNodeMillis the additional time that this node waits for each of
	 * these nodes, in milliseconds
	 * @return {@code true} if a snapshot is due at this node
	 */
	public static boolean isDue(long headOffset, long lastSnapshotOffset, long maxRecords, long uncoveredMillis,
			long intervalMillis, int nodesBefore, long delayPerNodeMillis) {
		if (uncoveredMillis < 0) {
			return false;
		}
		boolean isOverMaxRecords = headOffset - lastSnapshotOffset > maxRecords;
		long dueMillis = isOverMaxRecords ? 0 : intervalMillis;
		return uncoveredMillis >= dueMillis + nodesBefore * delayPerNodeMillis;
	}

}
