package io.flamingogap.gateway.peers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.flamingogap.gateway.store.RecordStore.Batch;
import io.flamingogap.gateway.store.StoredRecord;

/**
 * The newest records of a stream that were read from the store, without a gap.
 */
final class RecordCache {

	/** Several seconds of registrations and reports of the largest fleet. */
	private static final int MAX_RECORDS = 1_024;

	/** Bounds the memory for each stream; holds several large configurations. */
	private static final long MAX_BYTES = 1_048_576;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Deque<StoredRecord> records = new ArrayDeque<>();

	private long bytes;

	/** The first offset that is covered; records that were unreadable have none. */
	private long start;

	private long end;

	private long heardAtMillis = NEVER;

	/**
	 * Add what a read returned.
	 * @param from the offset that was read from
	 * @param batch the records
	 * @param nowMillis the present time
	 */
	void add(long from, Batch batch, long nowMillis) {
		if (from != this.end) {
			this.records.clear();
			this.bytes = 0;
			this.start = from;
		}
		this.end = batch.nextOffset();
		this.heardAtMillis = nowMillis;
		batch.records().forEach((entry) -> {
			this.records.addLast(entry);
			this.bytes += sizeOf(entry);
		});
		while (this.records.size() > MAX_RECORDS || this.bytes > MAX_BYTES) {
			StoredRecord oldest = this.records.removeFirst();
			this.bytes -= sizeOf(oldest);
			this.start = oldest.offset() + 1;
		}
	}

	private static long sizeOf(StoredRecord entry) {
		return entry.value().map((value) -> value.length).orElse(0);
	}

	/**
	 * Forget that the store was heard, until it answers again.
	 */
	void invalidate() {
		this.heardAtMillis = NEVER;
	}

	boolean isFresh(long nowMillis, long freshMillis) {
		return nowMillis - this.heardAtMillis <= freshMillis;
	}

	boolean covers(long from) {
		return from >= this.start && from <= this.end;
	}

	Batch from(long from) {
		List<StoredRecord> wanted = this.records.stream().filter((entry) -> entry.offset() >= from).toList();
		return new Batch(wanted, this.end, false);
	}

}
