package io.flamingogap.gateway.store;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * A store that passes all calls on to another one; subclasses change some of them.
 */
public abstract class ForwardingStore implements RecordStore {

	private final RecordStore store;

	/**
	 * Create a store.
	 * @param store takes the calls
	 */
	protected ForwardingStore(RecordStore store) {
		this.store = Objects.requireNonNull(store, "store must not be null");
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		return this.store.read(stream, from, waitMillis);
	}

	@Override
	public CompletableFuture<Page> newest(StoreStream stream, Optional<String> after) {
		return this.store.newest(stream, after);
	}

	@Override
	public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
			OptionalLong expectedEnd) {
		return this.store.append(stream, key, value, expectedEnd);
	}

	@Override
	public CompletableFuture<Long> appendAll(StoreStream stream, List<NewRecord> records) {
		return this.store.appendAll(stream, records);
	}

	@Override
	public CompletableFuture<GroupView> join(String member, long generation, long ttlMillis) {
		return this.store.join(member, generation, ttlMillis);
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return this.store.leave(member);
	}

}
