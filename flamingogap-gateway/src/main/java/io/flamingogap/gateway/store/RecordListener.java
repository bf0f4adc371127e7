package io.flamingogap.gateway.store;

import java.util.Set;

/**
 * Receives the records that a {@link RecordFollower} reads.
 */
public interface RecordListener {

	/**
	 * Handle a record. Records that a listing returns may be delivered again.
	 * @param entry the record; without a value if its key was removed
	 */
	void onRecord(StoredRecord entry);

	/**
	 * Handle the end of a listing, after the newest record of each key was delivered.
	 * @param keys all keys that the stream had
	 * @param endOffset the offset of the end of the stream when the listing began
	 */
	void onListed(Set<String> keys, long endOffset);

	/**
	 * Handle the return of the store from an earlier copy of itself, before any record of
	 * its new timeline is delivered. The offsets that were delivered before can't be
	 * compared with those that follow, and records that were delivered before may be
	 * missing from the store. A complete listing follows.
	 */
	void onStoreRestored();

}
