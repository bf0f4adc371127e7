package io.flamingogap.gateway.store;

import java.util.Set;

/**
 * Takes the records of a stream that is followed.
 */
public interface RecordListener {

	/**
	 * A record was read. Records of a listing may come again.
	 * @param entry the record
	 */
	void onRecord(StoredRecord entry);

	/**
	 * The newest records of all keys were read.
	 * @param keys the keys that the stream has
	 * @param end the end of the stream when the listing began
	 */
	void onListed(Set<String> keys, long end);

}
