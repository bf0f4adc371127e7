package io.flamingogap.core.config;

/**
 * Utility that decides when a node publishes a configuration snapshot. Nodes of a higher
 * rank wait longer, so usually only one node publishes, without a dedicated publisher.
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
	 * @param unpublishedMillis the time for which the configuration in force has not been
	 * covered by a snapshot, in milliseconds; negative if a snapshot covers it
	 * @param intervalMillis the value of {@code unpublishedMillis} at which a snapshot is
	 * due
	 * @param rank the rank of this node among the serving nodes, starting at 0
	 * @param turnMillis the additional time that a node waits for each node of a lower
	 * rank, in milliseconds
	 * @return {@code true} if a snapshot is due at this node
	 */
	public static boolean isDue(long headOffset, long lastSnapshotOffset, long maxRecords, long unpublishedMillis,
			long intervalMillis, int rank, long turnMillis) {
		if (unpublishedMillis < 0) {
			return false;
		}
		boolean isOverMaxRecords = headOffset - lastSnapshotOffset > maxRecords;
		long dueMillis = isOverMaxRecords ? 0 : intervalMillis;
		return unpublishedMillis >= dueMillis + rank * turnMillis;
	}

}
