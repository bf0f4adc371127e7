package io.flamingogap.gateway.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A store whose reads fail as told, or stay open until a test completes them. A listing
 * has one record, at offset 6.
 */
public final class ScriptedStore implements RecordStore {

	private final Deque<StoreException> failures = new ArrayDeque<>();

	private final List<Long> readFrom = new ArrayList<>();

	private final List<List<NewRecord>> appended = new ArrayList<>();

	private CompletableFuture<Batch> openRead = new CompletableFuture<>();

	/**
	 * Let the next read fail.
	 * @param failure the failure
	 */
	public void failReads(StoreException failure) {
		this.failures.add(failure);
	}

	/**
	 * Return the offsets that were read from.
	 * @return the offsets, in order
	 */
	public List<Long> readFrom() {
		return this.readFrom;
	}

	/**
	 * Return the records that were appended together.
	 * @return a list for each call
	 */
	public List<List<NewRecord>> appended() {
		return this.appended;
	}

	/**
	 * Return the read that is open.
	 * @return its result, which a test completes
	 */
	public CompletableFuture<Batch> openRead() {
		return this.openRead;
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		this.readFrom.add(from);
		this.openRead = new CompletableFuture<>();
		StoreException failure = this.failures.poll();
		return (failure != null) ? CompletableFuture.failedFuture(failure) : this.openRead;
	}

	@Override
	public CompletableFuture<Page> newest(StoreStream stream, Optional<String> after) {
		return CompletableFuture
			.completedFuture(new Page(List.of(new StoredRecord("a", Optional.of(new byte[1]), 6)), false, 7));
	}

	@Override
	public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
			OptionalLong expectedEnd) {
		return new CompletableFuture<>();
	}

	@Override
	public CompletableFuture<Long> appendAll(StoreStream stream, List<NewRecord> records) {
		this.appended.add(records);
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

}
