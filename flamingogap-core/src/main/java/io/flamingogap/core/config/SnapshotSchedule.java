package io.flamingogap.core.config;

/**
 * Decides when a node publishes a snapshot. Nodes take turns by rank, so that usually one
 * of them does; no node is special.
 */
public final class SnapshotSchedule {

	private SnapshotSchedule() {
	}

	/**
	 * Decide whether to publish now.
	 * @param headOffset the offset of the last record
	 * @param lastSnapshotOffset the offset of the last snapshot in the stream; 0 for none
	 * @param maxRecords the records after a snapshot at which the next one is due
	 * @param unpublishedMillis how long the configuration in force has been without a
	 * snapshot that covers it; negative if one does
	 * @param intervalMillis the time at which a snapshot is due
	 * @param rank the place of the node among the serving ones, from 0
	 * @param turnMillis how long each node waits for the one before it
	 * @return {@code true} if this node is to publish
	 */
	public static boolean isDue(long headOffset, long lastSnapshotOffset, long maxRecords, long unpublishedMillis,
			long intervalMillis, int rank, long turnMillis) {
		if (unpublishedMillis < 0) {
			return false;
		}
		boolean manyRecords = headOffset - lastSnapshotOffset > maxRecords;
		long dueMillis = manyRecords ? 0 : intervalMillis;
		return unpublishedMillis >= dueMillis + rank * turnMillis;
	}

}
