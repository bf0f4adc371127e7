package io.flamingogap.gateway.store;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's store. Results arrive on the event loop; failures are
 * {@link StoreException}s.
 */
public interface RecordStore {

	/**
	 * Read records, or wait for one.
	 * @param stream the stream
	 * @param from the first offset to read
	 * @param waitMillis how long to wait for a record
	 * @return the records, and the offset to go on from
	 */
	CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis);

	/**
	 * Read the newest record of each key, a page at a time.
	 * @param stream the stream
	 * @param after the last key of the page before, if any
	 * @return the page
	 */
	CompletableFuture<Page> newest(StoreStream stream, Optional<String> after);

	/**
	 * Append a record.
	 * @param stream the stream
	 * @param key the key
	 * @param value the content; empty to remove the key
	 * @param expectedEnd the offset that the record must get, if it matters
	 * @return the offset that it got
	 */
	CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value, OptionalLong expectedEnd);

	/**
	 * Append records in one call.
	 * @param stream the stream
	 * @param records the records
	 * @return the offset that the first one got
	 */
	CompletableFuture<Long> appendAll(StoreStream stream, List<NewRecord> records);

	/**
	 * Join the group that shares the duties, or stay in it.
	 * @param member the name of this run of the node
	 * @param generation the last generation that was returned; 0 at first
	 * @param ttlMillis how long the membership lasts without another call
	 * @return this node's part in the group
	 */
	CompletableFuture<GroupView> join(String member, long generation, long ttlMillis);

	/**
	 * Leave the group.
	 * @param member the name of this run of the node
	 * @return completes when the store has answered
	 */
	CompletableFuture<Void> leave(String member);

	/**
	 * Records that were read.
	 *
	 * @param records the records
	 * @param next the offset to go on from
	 * @param relayed whether another node of the zone passed them on, which costs no call
	 * of the store
	 */
	record Batch(List<StoredRecord> records, long next, boolean relayed) {
	}

	/**
	 * A record to append.
	 *
	 * @param key the key
	 * @param value the content
	 */
	record NewRecord(String key, byte[] value) {
	}

	/**
	 * A page of the newest records.
	 *
	 * @param records the records
	 * @param hasMore whether another page follows
	 * @param end the end of the stream when the page was taken
	 */
	record Page(List<StoredRecord> records, boolean hasMore, long end) {
	}

	/**
	 * This node's part in the group.
	 *
	 * @param generation the number of the group's distribution of the duties
	 * @param holdsDuties whether this node holds them
	 */
	record GroupView(long generation, boolean holdsDuties) {
	}

}
