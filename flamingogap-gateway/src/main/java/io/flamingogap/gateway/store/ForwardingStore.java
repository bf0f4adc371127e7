package io.flamingogap.gateway.store;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Base class for a {@link RecordStore} that wraps another one. Forwards every call that a
 * subclass doesn't override.
 */
public abstract class ForwardingStore implements RecordStore {

	private final RecordStore delegate;

	/**
	 * Create a store that forwards its calls.
	 * @param delegate the store to forward to
	 */
	protected ForwardingStore(RecordStore delegate) {
		this.delegate = Objects.requireNonNull(delegate, "delegate must not be null");
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		return this.delegate.read(stream, from, waitMillis);
	}

	@Override
	public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
		return this.delegate.listNewest(stream, after);
	}

	@Override
	public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
			OptionalLong expectedOffset) {
		return this.delegate.append(stream, key, value, expectedOffset);
	}

	@Override
	public CompletableFuture<Long> appendAll(StoreStream stream, List<NewRecord> records) {
		return this.delegate.appendAll(stream, records);
	}

	@Override
	public CompletableFuture<GroupView> join(String member, long generation, long ttlMillis) {
		return this.delegate.join(member, generation, ttlMillis);
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return this.delegate.leave(member);
	}

	@Override
	public long timeline() {
		return this.delegate.timeline();
	}

}
