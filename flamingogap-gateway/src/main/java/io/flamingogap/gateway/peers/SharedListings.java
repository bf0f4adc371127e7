package io.flamingogap.gateway.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.RecordStore.Page;
import io.flamingogap.gateway.store.StoreStream;

/**
 * Listings of the store that nodes of a zone ask for at about the same time, as all of
 * them do when the store has dropped its history. One call of the store answers them. A
 * listing is a snapshot that its reader completes by reading on from its end, so it may
 * be a little older than the question.
 * <p>
 * Not thread-safe.
 */
final class SharedListings {

	/** How long a listing answers further questions. */
	static final long MAX_AGE_MILLIS = 300;

	private final RecordStore store;

	private final Map<Question, Listing> listings = new HashMap<>();

	/**
	 * Create an object that shares nothing yet.
	 * @param store the store to list from
	 */
	SharedListings(RecordStore store) {
		this.store = store;
	}

	/**
	 * List the newest record of each key, one page at a time.
	 * @param stream the stream
	 * @param after the last key of the previous page; empty for the first page
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the page, which may be that of an earlier question
	 */
	CompletableFuture<Page> list(StoreStream stream, Optional<String> after, long nowMillis) {
		this.listings.values().removeIf((listing) -> !listing.isUsable(nowMillis));
		return this.listings.computeIfAbsent(new Question(stream, after),
				(question) -> new Listing(this.store.listNewest(stream, after), nowMillis)).page;
	}

	/**
	 * Forget the listings after which records are missing.
	 * @param stream the stream
	 * @param offset an offset from which the store has dropped the record
	 */
	void forgetUpTo(StoreStream stream, long offset) {
		this.listings.entrySet()
			.removeIf((entry) -> entry.getKey().stream == stream && entry.getValue().endsAtOrBefore(offset));
	}

	/**
	 * Forget all listings, also those that are not answered yet.
	 */
	void forgetAll() {
		this.listings.clear();
	}

	private record Question(StoreStream stream, Optional<String> after) {
	}

	private record Listing(CompletableFuture<Page> page, long askedAtMillis) {

		private boolean isUsable(long nowMillis) {
			return !this.page.isDone()
					|| (!this.page.isCompletedExceptionally() && nowMillis - this.askedAtMillis < MAX_AGE_MILLIS);
		}

		private boolean endsAtOrBefore(long offset) {
			return this.page.isDone() && !this.page.isCompletedExceptionally()
					&& this.page.join().endOffset() <= offset;
		}

	}

}
