package io.flamingogap.gateway.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Following a stream of the store.
 */
class RecordFollowerTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ScriptedStore store = new ScriptedStore();

	private final List<Long> offsets = new ArrayList<>();

	private int listings;

	private RecordFollower follower() {
		return new RecordFollower(this.channel.eventLoop(), this.store, StoreStream.NODES, 0, new RecordListener() {
			@Override
			public void onRecord(StoredRecord entry) {
				RecordFollowerTests.this.offsets.add(entry.offset());
			}

			@Override
			public void onListed(Set<String> keys, long end) {
				RecordFollowerTests.this.listings++;
			}
		}, () -> 0);
	}

	@Test
	void readsOnFromTheEndOfItsListing() {
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.store.readFrom, contains(7L));
	}

	@Test
	void listsAgainWhenRecordsThatItHasNotReadAreGone() {
		this.store.failures.add(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.listings, is(2));
		assertThat(this.store.readFrom, contains(7L, 7L));
	}

	@Test
	void replaysEarlierRecordsOnceOnly() {
		this.store.failures.add(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower().replaying(5).start();
		this.channel.runPendingTasks();
		assertThat(this.store.readFrom, contains(2L, 7L));
	}

	@Test
	void failureIsRememberedAsADisturbance() {
		this.store.failures.add(new StoreException(StoreException.Reason.UNAVAILABLE, "down"));
		RecordFollower follower = follower();
		follower.start();
		this.channel.runPendingTasks();
		assertThat(follower.disturbedAtMillis(), is(0L));
		assertThat(follower.isListed(), is(true));
	}

	/**
	 * A store with seven records whose reads fail as scripted, and then wait for ever.
	 */
	private static final class ScriptedStore implements RecordStore {

		private final Deque<StoreException> failures = new ArrayDeque<>();

		private final List<Long> readFrom = new ArrayList<>();

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			this.readFrom.add(from);
			StoreException failure = this.failures.poll();
			return (failure != null) ? CompletableFuture.failedFuture(failure) : new CompletableFuture<>();
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
		public CompletableFuture<GroupView> join(String member, long generation, long ttlMillis) {
			return new CompletableFuture<>();
		}

		@Override
		public CompletableFuture<Void> leave(String member) {
			return new CompletableFuture<>();
		}

	}

}
