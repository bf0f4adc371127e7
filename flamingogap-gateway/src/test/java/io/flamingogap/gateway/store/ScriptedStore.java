package io.flamingogap.gateway.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A store for tests whose reads fail as scripted or stay pending until the test completes
 * them. A listing has one record, at offset 6.
 */
public final class ScriptedStore implements RecordStore {

	private final Deque<StoreException> failures = new ArrayDeque<>();

	private final Deque<Page> pages = new ArrayDeque<>();

	private final List<Optional<String>> listedAfter = new ArrayList<>();

	private final List<Long> readOffsets = new ArrayList<>();

	private final List<List<NewRecord>> appendedBatches = new ArrayList<>();

	private long timeline = UNNUMBERED_TIMELINE;

	private CompletableFuture<Batch> pendingRead = new CompletableFuture<>();

	/**
	 * Make the next read fail. Several failures apply to the next reads in turn.
	 * @param failure the failure
	 */
	public void failNextRead(StoreException failure) {
		this.failures.add(failure);
	}

	/**
	 * Set the newest timeline that answers to any calls have shown.
	 * @param newTimeline the number
	 */
	public void showTimeline(long newTimeline) {
		this.timeline = newTimeline;
	}

	/**
	 * Answer the next listing. Several pages answer the next listings in turn.
	 * @param page the page
	 */
	public void answerNextListing(Page page) {
		this.pages.add(page);
	}

	/**
	 * Return the offset that each read started from.
	 * @return the offsets, in the order of the calls
	 */
	public List<Long> readOffsets() {
		return this.readOffsets;
	}

	/**
	 * Return how many listings were asked for.
	 * @return the number of calls
	 */
	public int listingCount() {
		return this.listedAfter.size();
	}

	/**
	 * Return the key after which each listing began.
	 * @return the keys, in the order of the calls; empty for the first page
	 */
	public List<Optional<String>> listedAfter() {
		return this.listedAfter;
	}

	/**
	 * Return the records that were appended together.
	 * @return a list of records for each call
	 */
	public List<List<NewRecord>> appendedBatches() {
		return this.appendedBatches;
	}

	/**
	 * Return the result of the latest read. Not to be called if that read failed as
	 * scripted.
	 * @return a future for the test to complete
	 */
	public CompletableFuture<Batch> pendingRead() {
		return this.pendingRead;
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		this.readOffsets.add(from);
		this.pendingRead = new CompletableFuture<>();
		StoreException failure = this.failures.poll();
		return (failure != null) ? CompletableFuture.failedFuture(failure) : this.pendingRead;
	}

	@Override
	public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
		this.listedAfter.add(after);
		Page page = this.pages.poll();
		return CompletableFuture.completedFuture((page != null) ? page
				: new Page(List.of(new StoredRecord("a", Optional.of(new byte[1]), 6)), false, 7, 0));
	}

	@Override
	public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
			OptionalLong expectedOffset) {
		return new CompletableFuture<>();
	}

	@Override
	public CompletableFuture<Long> appendAll(StoreStream stream, List<NewRecord> records) {
		this.appendedBatches.add(records);
		return CompletableFuture.completedFuture(7L);
	}

	@Override
	public CompletableFuture<GroupView> join(String member, long generation, long ttlMillis) {
		return new CompletableFuture<>();
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return new CompletableFuture<>();
	}

	@Override
	public long timeline() {
		return this.timeline;
	}

}
