package io.flamingogap.gateway.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import io.flamingogap.gateway.peers.SharedReads;

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
		return follower(this.store);
	}

	private RecordFollower follower(RecordStore reads) {
		return new RecordFollower(this.channel.eventLoop(), reads, StoreStream.NODES, 0, new RecordListener() {
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
		assertThat(this.store.readFrom(), contains(7L));
	}

	@Test
	void listsAgainWhenRecordsThatItHasNotReadAreGone() {
		this.store.failReads(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.listings, is(2));
		assertThat(this.store.readFrom(), contains(7L, 7L));
	}

	@Test
	void listsAgainAlsoWhenItReadsForItsZone() {
		this.store.failReads(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower(new SharedReads(this.channel.eventLoop(), this.store, () -> 0)).start();
		this.channel.runPendingTasks();
		assertThat(this.listings, is(2));
	}

	@Test
	void replaysEarlierRecordsOnceOnly() {
		this.store.failReads(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower().replaying(5).start();
		this.channel.runPendingTasks();
		assertThat(this.store.readFrom(), contains(2L, 7L));
	}

	@Test
	void failureIsRememberedAsADisturbance() {
		this.store.failReads(new StoreException(StoreException.Reason.UNAVAILABLE, "down"));
		RecordFollower follower = follower();
		follower.start();
		this.channel.runPendingTasks();
		assertThat(follower.lastDisruptionAtMillis(), is(0L));
		assertThat(follower.hasCompletedListing(), is(true));
	}

}
