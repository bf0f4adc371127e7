package io.flamingogap.gateway.peers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.flamingogap.gateway.store.RecordStore.Batch;
import io.flamingogap.gateway.store.StoredRecord;

/**
 * Keeps the newest records that were read from a stream, without gaps between them.
 */
final class RecordCache {

	/**
	 * Bounds the records that are kept of each stream: several seconds of registrations
	 * and reports of the largest fleet.
	 */
	private static final int MAX_RECORDS = 1_024;

	/** Bounds the memory for each stream. Holds several large configurations. */
	private static final long MAX_BYTES = 1_048_576;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Deque<StoredRecord> records = new ArrayDeque<>();

	private long sizeBytes;

	/**
	 * The first offset of the cached range. The range may include the offset of a record
	 * that could not be decoded and is therefore missing.
	 */
	private long startOffset;

	private long endOffset;

	private long timeline;

	private long lastReadAtMillis = NEVER;

	/**
	 * Keep nothing but the knowledge that a stream has ended at an offset.
	 * @param offset the offset of the end
	 * @param atTimeline the timeline of the offset
	 * @param atMillis when the store was asked, on the monotonic clock
	 */
	void startAt(long offset, long atTimeline, long atMillis) {
		clear(offset, atTimeline);
		this.endOffset = offset;
		this.lastReadAtMillis = atMillis;
	}

	private void clear(long offset, long atTimeline) {
		this.records.clear();
		this.sizeBytes = 0;
		this.startOffset = offset;
		this.timeline = atTimeline;
	}

	/**
	 * Add the records that a read returned. Drops the earlier ones if there is a gap, or
	 * if they are of another timeline.
	 * @param from the offset that the read started from
	 * @param batch the result of the read
	 * @param nowMillis the current time on the monotonic clock
	 */
	void add(long from, Batch batch, long nowMillis) {
		if (from != this.endOffset || batch.timeline() != this.timeline) {
			clear(from, batch.timeline());
		}
		this.endOffset = batch.nextOffset();
		this.lastReadAtMillis = nowMillis;
		batch.records().forEach((entry) -> {
			this.records.addLast(entry);
			this.sizeBytes += sizeOf(entry);
		});
		while (this.records.size() > MAX_RECORDS || this.sizeBytes > MAX_BYTES) {
			StoredRecord oldest = this.records.removeFirst();
			this.sizeBytes -= sizeOf(oldest);
			this.startOffset = oldest.offset() + 1;
		}
	}

	private static long sizeOf(StoredRecord entry) {
		return entry.value().map((value) -> value.length).orElse(0);
	}

	/**
	 * Treat the records as stale until the store answers again.
	 */
	void markStale() {
		this.lastReadAtMillis = NEVER;
	}

	boolean isFresh(long nowMillis, long maxAgeMillis) {
		return nowMillis - this.lastReadAtMillis <= maxAgeMillis;
	}

	boolean covers(long from) {
		return from >= this.startOffset && from <= this.endOffset;
	}

	boolean endsBefore(long offset) {
		return this.endOffset < offset;
	}

	Batch batchFrom(long from, long nowMillis) {
		List<StoredRecord> matching = this.records.stream().filter((entry) -> entry.offset() >= from).toList();
		return new Batch(matching, this.endOffset, false, nowMillis - this.lastReadAtMillis, this.timeline);
	}

}
