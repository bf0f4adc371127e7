package io.flamingogap.gateway.store;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's durable store of record streams. It also elects, within a group of entry
 * nodes, the one that holds the duties: the tasks that one node carries out for all, such
 * as reporting usage and ordering servers. Futures complete on the event loop; those of
 * failed calls complete with a {@link StoreException}.
 * <p>
 * The store may return from an earlier copy of itself. It then has lost the newest
 * records and gives their offsets to others, so only offsets of one timeline can be
 * compared. The number of the timeline rises with each return.
 */
public interface RecordStore {

	/** The timeline of a store that doesn't number its timelines. */
	long UNNUMBERED_TIMELINE = 0;

	/** Between two answers the store doesn't return more often than this. */
	long MAX_TIMELINE_RISE = 1_000;

	/**
	 * Return whether a number shows that the store has returned.
	 * @param known the newest known timeline
	 * @param shown the number that an answer shows
	 * @return {@code false} if the number isn't higher, or so much higher that it can
	 * only be wrong
	 */
	static boolean isLaterTimeline(long known, long shown) {
		return shown > known && (known == UNNUMBERED_TIMELINE || shown - known <= MAX_TIMELINE_RISE);
	}

	/**
	 * Read the records from an offset on. If there are none yet, wait for the next one.
	 * @param stream the stream
	 * @param from the offset of the first record to read
	 * @param waitMillis how long the call may wait for a record, in milliseconds; 0 to
	 * return at once
	 * @return the records, which may be none, and the offset to continue from
	 */
	CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis);

	/**
	 * List the newest record of each key, one page at a time.
	 * @param stream the stream
	 * @param after the last key of the previous page; empty for the first page
	 * @return the page
	 */
	CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after);

	/**
	 * Append a record.
	 * @param stream the stream
	 * @param key the key
	 * @param value the content; empty to remove the key
	 * @param expectedOffset the offset that the record must get, or the call fails with
	 * {@link StoreException.Reason#CONFLICT}; empty if any offset will do
	 * @return the offset of the record
	 */
	CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value, OptionalLong expectedOffset);

	/**
	 * Append several records in one call.
	 * @param stream the stream
	 * @param records the records, in order
	 * @return the offset of the first record
	 */
	CompletableFuture<Long> appendAll(StoreStream stream, List<NewRecord> records);

	/**
	 * Join the group whose members can be assigned the duties, or renew the membership.
	 * @param member the name of the member
	 * @param generation the generation that the previous call returned; 0 in the first
	 * call
	 * @param ttlMillis how long the membership lasts without another call, in
	 * milliseconds
	 * @return the state of the group as seen by the member
	 */
	CompletableFuture<GroupView> join(String member, long generation, long ttlMillis);

	/**
	 * Leave the group.
	 * @param member the name of the member
	 * @return completes when the store has answered
	 */
	CompletableFuture<Void> leave(String member);

	/**
	 * Return the newest timeline of the store that an answer has shown.
	 * @return the number, or {@link #UNNUMBERED_TIMELINE}
	 */
	long timeline();

	/**
	 * The result of a read.
	 *
	 * @param records the records, in order of their offsets; may be empty
	 * @param nextOffset the offset to continue from
	 * @param fromZoneRelay whether the node that reads for this node's zone answered,
	 * which costs no call to the store; {@code false} if another node called the store
	 * for this one
	 * @param ageMillis how long ago the store itself answered, in milliseconds; records
	 * that were appended since may be missing
	 * @param timeline the timeline of the offsets
	 */
	record Batch(List<StoredRecord> records, long nextOffset, boolean fromZoneRelay, long ageMillis, long timeline) {

		/**
		 * Create a batch that the store itself has just returned.
		 * @param records the records, in order of their offsets; may be empty
		 * @param nextOffset the offset to continue from
		 * @param timeline the timeline of the offsets
		 * @return the batch
		 */
		public static Batch fromStore(List<StoredRecord> records, long nextOffset, long timeline) {
			return new Batch(records, nextOffset, false, 0, timeline);
		}

	}

	/**
	 * A record to append, which has no offset yet.
	 *
	 * @param key the key
	 * @param value the content
	 */
	record NewRecord(String key, byte[] value) {
	}

	/**
	 * A page of a listing.
	 *
	 * @param records the newest records of some keys
	 * @param hasMore whether there is another page
	 * @param endOffset the offset of the end of the stream when the page was read
	 * @param timeline the timeline of the offsets
	 */
	record Page(List<StoredRecord> records, boolean hasMore, long endOffset, long timeline) {
	}

	/**
	 * The state of the group as seen by one member.
	 *
	 * @param generation the number of the current assignment of the duties
	 * @param holdsDuties whether the duties are assigned to the member
	 */
	record GroupView(long generation, boolean holdsDuties) {
	}

}
