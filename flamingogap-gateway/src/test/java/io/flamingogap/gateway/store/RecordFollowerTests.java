package io.flamingogap.gateway.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import io.flamingogap.gateway.peers.ZoneReadCache;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link RecordFollower}: where it reads from, and what it does after failed
 * reads.
 */
class RecordFollowerTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ScriptedStore store = new ScriptedStore();

	private final List<Long> receivedOffsets = new ArrayList<>();

	private int listingCount;

	private RecordFollower follower() {
		return follower(this.store);
	}

	private RecordFollower follower(RecordStore followedStore) {
		return new RecordFollower(this.channel.eventLoop(), followedStore, StoreStream.NODES, 0, new RecordListener() {
			@Override
			public void onRecord(StoredRecord entry) {
				RecordFollowerTests.this.receivedOffsets.add(entry.offset());
			}

			@Override
			public void onListed(Set<String> keys, long endOffset) {
				RecordFollowerTests.this.listingCount++;
			}
		}, () -> 0);
	}

	@Test
	void readsFromTheEndOfTheListing() {
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.store.readOffsets(), contains(7L));
	}

	@Test
	void listsAgainWhenUnreadRecordsWereDropped() {
		this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.listingCount, is(2));
		assertThat(this.store.readOffsets(), contains(7L, 7L));
	}

	@Test
	void listsAgainWhenReadingThroughTheZoneCache() {
		this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower(new ZoneReadCache(this.channel.eventLoop(), this.store, () -> 0)).start();
		this.channel.runPendingTasks();
		assertThat(this.listingCount, is(2));
	}

	@Test
	void replaysEarlierRecordsOnlyOnce() {
		this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower().replaying(5).start();
		this.channel.runPendingTasks();
		assertThat(this.store.readOffsets(), contains(2L, 7L));
	}

	@Test
	void recordsFailedReadAsDisruption() {
		this.store.failNextRead(new StoreException(StoreException.Reason.UNAVAILABLE, "down"));
		RecordFollower follower = follower();
		follower.start();
		this.channel.runPendingTasks();
		assertThat(follower.lastDisruptionAtMillis(), is(0L));
		assertThat(follower.hasCompletedListing(), is(true));
	}

}
