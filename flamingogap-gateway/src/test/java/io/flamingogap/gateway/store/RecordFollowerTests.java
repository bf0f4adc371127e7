package io.flamingogap.gateway.store;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.gateway.peers.ChannelWithFrozenTime;
import io.flamingogap.gateway.peers.ZoneReadCache;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link RecordFollower}: where it reads from, and what it does after failed
 * reads.
 */
class RecordFollowerTests {

	/**
	 * After a disruption, a node counts as undisturbed after 4 s, and doubts the end of a
	 * registration for 2.5 s.
	 */
	private static final long MAX_NOTICE_DELAY_MILLIS = 1_500;

	private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

	private final ScriptedStore store = new ScriptedStore();

	private final List<Long> receivedOffsets = new ArrayList<>();

	private final List<String> events = new ArrayList<>();

	private final UnnumberedReturns unnumberedReturns = new UnnumberedReturns();

	private int listingCount;

	private long nowMillis;

	private long unprocessableOffset = -1;

	private RecordFollower follower() {
		return follower(this.store);
	}

	private RecordFollower follower(RecordStore followedStore) {
		return new RecordFollower(this.channel.eventLoop(), followedStore, StoreStream.NODES, 0, new RecordListener() {
			@Override
			public void onRecord(StoredRecord entry) {
				if (entry.offset() == RecordFollowerTests.this.unprocessableOffset) {
					throw new IllegalStateException("test");
				}
				RecordFollowerTests.this.receivedOffsets.add(entry.offset());
				RecordFollowerTests.this.events.add("record " + entry.offset());
			}

			@Override
			public void onListed(Set<String> keys, long endOffset) {
				RecordFollowerTests.this.listingCount++;
				RecordFollowerTests.this.events.add("listed to " + endOffset);
			}

			@Override
			public void onStoreRestored() {
				RecordFollowerTests.this.events.add("restored");
			}
		}, () -> this.nowMillis, this.unnumberedReturns);
	}

	@Test
	void readsFromTheEndOfTheListing() {
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.store.readOffsets(), contains(7L));
	}

	// A node stopped following the servers after one entry that it could not process.
	@Test
	void recordThatCannotBeProcessedDoesNotStopTheFollower() {
		this.unprocessableOffset = 7;
		follower().start();
		this.channel.runPendingTasks();
		this.store.pendingRead()
			.complete(RecordStore.Batch.fromStore(List.of(new StoredRecord("odd", Optional.empty(), 7),
					new StoredRecord("next", Optional.empty(), 8)), 9, 0));
		this.channel.runPendingTasks();
		assertThat(this.receivedOffsets, contains(6L, 8L));
		assertThat(this.store.readOffsets(), contains(7L, 9L));
	}

	@Test
	void recordOfAListingThatCannotBeProcessedDoesNotStopTheFollower() {
		this.unprocessableOffset = 6;
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.store.readOffsets(), contains(7L));
		assertThat(this.listingCount, is(1));
	}

	@Test
	void listsAgainWhenUnreadRecordsWereDropped() {
		this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.listingCount, is(2));
		assertThat(this.store.readOffsets(), contains(7L, 7L));
	}

	// While another node handed out a listing that the returned store couldn't follow,
	// the
	// stream was listed again without a pause.
	@Test
	void pausesWhenTheRecordsAfterANewListingAreMissingToo() {
		for (int i = 0; i < 3; i++) {
			this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "gone"));
		}
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.listingCount, is(2));
		passTime(100);
		assertThat(this.listingCount, is(3));
	}

	// Otherwise each loss of records after the first one costs a pause.
	@Test
	void listsAtOnceWhenRecordsAreMissingAfterAReadThatSucceeded() {
		this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower().start();
		this.channel.runPendingTasks();
		this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "gone"));
		answerRead(0, 8, 7);
		assertThat(this.listingCount, is(3));
	}

	// Otherwise records that are appended between the pages of a listing are never read.
	@Test
	void readsFromTheEndOfTheFirstPageOfTheListing() {
		this.store.answerNextListing(page(0, true, 100, 10));
		this.store.answerNextListing(page(0, false, 105, 20));
		follower().start();
		this.channel.runPendingTasks();
		assertThat(this.events, contains("record 10", "record 20", "listed to 100"));
		assertThat(this.store.readOffsets(), contains(100L));
	}

	@Test
	void listsAgainWhenReadingThroughTheZoneCache() {
		this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "gone"));
		follower(new ZoneReadCache(this.channel.eventLoop(), this.store, () -> 0)).start();
		this.channel.runPendingTasks();
		assertThat(this.listingCount, is(2));
	}

	// Servers that had left were taken for live ones too long after a disruption, because
	// its
	// end was noticed late.
	@ParameterizedTest
	@ValueSource(ints = { 3_000, 3_100, 3_300, 3_600, 3_900, 4_200, 4_700, 5_500 })
	void endOfADisruptionIsNoticedInTime(int disruptionEndMillis) {
		DisruptedStore disrupted = new DisruptedStore(1_000, disruptionEndMillis);
		RecordFollower follower = new RecordFollower(this.channel.eventLoop(), disrupted, StoreStream.SERVERS, 900,
				new RecordListener() {
					@Override
					public void onRecord(StoredRecord entry) {
					}

					@Override
					public void onListed(Set<String> keys, long endOffset) {
					}

					@Override
					public void onStoreRestored() {
					}
				}, () -> disrupted.nowMillis, new UnnumberedReturns());
		follower.start();
		while (disrupted.nowMillis < disruptionEndMillis + 4_000) {
			disrupted.advance(20);
		}
		assertThat(follower.lastDisruptionAtMillis() - disruptionEndMillis, lessThanOrEqualTo(MAX_NOTICE_DELAY_MILLIS));
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

	private static RecordStore.Page page(long timeline, boolean hasMore, long endOffset, long... offsets) {
		List<StoredRecord> records = Arrays.stream(offsets)
			.mapToObj((offset) -> new StoredRecord("key-" + offset, Optional.of(new byte[1]), offset))
			.toList();
		return new RecordStore.Page(records, hasMore, endOffset, timeline);
	}

	private RecordFollower followToOffset100(long timeline) {
		this.store.answerNextListing(page(timeline, false, 100, 99));
		RecordFollower follower = follower();
		follower.start();
		this.channel.runPendingTasks();
		this.events.clear();
		return follower;
	}

	private void answerRead(long timeline, long nextOffset, long... offsets) {
		this.store.pendingRead()
			.complete(RecordStore.Batch.fromStore(page(timeline, false, 0, offsets).records(), nextOffset, timeline));
		this.channel.runPendingTasks();
	}

	private void passTime(long millis) {
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		this.channel.runPendingTasks();
	}

	@Nested
	class Returns {

		// Records that a store had lost and written again at lower offsets were never
		// read, because the follower went on at its old offset.
		@Test
		void listsAgainWhenARecordOfALaterTimelineArrives() {
			followToOffset100(1);
			RecordFollowerTests.this.store.answerNextListing(page(2, false, 90, 80, 89));
			answerRead(2, 102, 100, 101);
			assertThat(RecordFollowerTests.this.events, contains("restored", "record 80", "record 89", "listed to 90"));
			assertThat(RecordFollowerTests.this.store.readOffsets(), contains(100L, 90L));
		}

		@Test
		void listsAgainWhenAnEmptyReadOfALaterTimelineArrives() {
			followToOffset100(1);
			RecordFollowerTests.this.store.answerNextListing(page(2, false, 100, 80));
			answerRead(2, 100);
			assertThat(RecordFollowerTests.this.events, contains("restored", "record 80", "listed to 100"));
		}

		// The first pages of a listing came from before the return of the store, and the
		// records that had changed since were not read.
		@Test
		void listingBeginsAnewWhenTheStoreReturnsDuringIt() {
			RecordFollowerTests.this.store.answerNextListing(page(1, true, 100, 10));
			RecordFollowerTests.this.store.answerNextListing(page(2, true, 90, 20));
			RecordFollowerTests.this.store.answerNextListing(page(2, true, 90, 10));
			RecordFollowerTests.this.store.answerNextListing(page(2, false, 90, 20));
			follower().start();
			RecordFollowerTests.this.channel.runPendingTasks();
			assertThat(RecordFollowerTests.this.store.listedAfter(),
					contains(Optional.empty(), Optional.of("key-10"), Optional.empty(), Optional.of("key-10")));
			assertThat(RecordFollowerTests.this.events,
					contains("record 10", "restored", "record 10", "record 20", "listed to 90"));
		}

		// A node whose view of the store was older handed out records that the store had
		// lost.
		@Test
		void readOfAnEarlierTimelineIsRepeated() {
			RecordFollower follower = followToOffset100(2);
			RecordFollowerTests.this.nowMillis = 5_000;
			answerRead(1, 102, 100, 101);
			assertThat(RecordFollowerTests.this.events, is(empty()));
			assertThat(follower.lastDisruptionAtMillis(), is(5_000L));
			passTime(100);
			answerRead(2, 101, 100);
			assertThat(RecordFollowerTests.this.events, contains("record 100"));
			assertThat(RecordFollowerTests.this.store.readOffsets(), contains(100L, 100L, 101L));
		}

		// Requests reached a server that had left, since its stream had grown past the
		// offset
		// that was read next, and only another stream of the node showed the return.
		@Test
		void listsAgainWhenAnotherStreamShowsAReturnWithoutANumber() {
			followToOffset100(0);
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 120, 80, 119));
			RecordFollowerTests.this.unnumberedReturns.notifyListeners();
			RecordFollowerTests.this.channel.runPendingTasks();
			answerRead(0, 121, 120);
			assertThat(RecordFollowerTests.this.events,
					contains("restored", "record 80", "record 119", "listed to 120", "record 120"));
			assertThat(RecordFollowerTests.this.store.readOffsets(), contains(100L, 120L, 121L));
		}

		// The answer to a read of the time before the return would be taken for one that
		// follows the new listing.
		@Test
		void answersToCallsFromBeforeTheListingAreIgnored() {
			followToOffset100(0);
			CompletableFuture<RecordStore.Batch> earlierRead = RecordFollowerTests.this.store.pendingRead();
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 120, 119));
			RecordFollowerTests.this.unnumberedReturns.notifyListeners();
			RecordFollowerTests.this.channel.runPendingTasks();
			earlierRead.complete(RecordStore.Batch
				.fromStore(List.of(new StoredRecord("key-100", Optional.of(new byte[1]), 100)), 101, 0));
			RecordFollowerTests.this.channel.runPendingTasks();
			assertThat(RecordFollowerTests.this.events, contains("restored", "record 119", "listed to 120"));
			assertThat(RecordFollowerTests.this.store.readOffsets(), contains(100L, 120L));
		}

		@Test
		void tellsOthersOfAReturnThatItNoticesWithoutANumber() {
			followToOffset100(0);
			List<String> told = new ArrayList<>();
			RecordFollowerTests.this.unnumberedReturns.addListener(() -> told.add("told"));
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 90, 89));
			RecordFollowerTests.this.store.pendingRead()
				.completeExceptionally(new StoreException(StoreException.Reason.DROPPED, "beyond the end"));
			RecordFollowerTests.this.channel.runPendingTasks();
			assertThat(told, contains("told"));
			assertThat(RecordFollowerTests.this.events, contains("restored", "record 89", "listed to 90"));
			assertThat(RecordFollowerTests.this.store.readOffsets(), contains(100L, 90L));
		}

		@Test
		void returnThatIsNumberedIsNotPassedOn() {
			followToOffset100(1);
			List<String> told = new ArrayList<>();
			RecordFollowerTests.this.unnumberedReturns.addListener(() -> told.add("told"));
			RecordFollowerTests.this.store.answerNextListing(page(2, false, 90, 89));
			answerRead(2, 100);
			assertThat(told, is(empty()));
		}

		@Test
		void readWithoutATimelineIsRepeatedOnceTimelinesAreKnown() {
			followToOffset100(1);
			answerRead(0, 102, 100, 101);
			passTime(100);
			assertThat(RecordFollowerTests.this.events, is(empty()));
			assertThat(RecordFollowerTests.this.store.readOffsets(), contains(100L, 100L));
		}

		@Test
		void listingOfAnEarlierTimelineIsRepeated() {
			followToOffset100(1);
			RecordFollowerTests.this.store.answerNextListing(page(1, false, 100, 99));
			RecordFollowerTests.this.store.answerNextListing(page(2, false, 90, 89));
			answerRead(2, 90);
			assertThat(RecordFollowerTests.this.events, is(empty()));
			passTime(100);
			assertThat(RecordFollowerTests.this.events, contains("restored", "record 89", "listed to 90"));
		}

		// After a read that the returned store couldn't answer, another node that didn't
		// know of the return handed out an older listing again and again.
		@Test
		void olderListingIsNotUsedOnceOtherCallsHaveShownTheReturn() {
			RecordFollowerTests.this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "no record"));
			RecordFollowerTests.this.store.answerNextListing(page(1, false, 100, 99));
			RecordFollowerTests.this.store.answerNextListing(page(1, false, 100, 99));
			RecordFollowerTests.this.store.answerNextListing(page(2, false, 90, 89));
			RecordFollower follower = follower();
			RecordFollowerTests.this.store.showTimeline(2);
			follower.start();
			RecordFollowerTests.this.channel.runPendingTasks();
			passTime(100);
			assertThat(RecordFollowerTests.this.events,
					contains("record 99", "listed to 100", "restored", "record 89", "listed to 90"));
		}

		@Test
		void followerFindsOutThatAStoreBeginsToNumberItsTimelines() {
			followToOffset100(0);
			RecordFollowerTests.this.store.answerNextListing(page(1, false, 100, 99));
			answerRead(1, 101, 100);
			assertThat(RecordFollowerTests.this.events, contains("restored", "record 99", "listed to 100"));
		}

		@Test
		void storeWithoutTimelinesHasReturnedWhenItEndsBeforeTheOffsetThatItLacks() {
			RecordFollowerTests.this.store
				.failNextRead(new StoreException(StoreException.Reason.DROPPED, "past the end"));
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 100, 99));
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 90, 89));
			follower().start();
			RecordFollowerTests.this.channel.runPendingTasks();
			assertThat(RecordFollowerTests.this.events,
					contains("record 99", "listed to 100", "restored", "record 89", "listed to 90"));
		}

		// A node that was suspended while the store returned skipped the records that had
		// got its offset anew.
		@Test
		void listsAgainAfterASuspensionIfTimelinesAreNotNumbered() {
			followToOffset100(0).listingAfterGaps(3_000);
			RecordFollowerTests.this.nowMillis = 20_000;
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 103, 60, 102));
			answerRead(0, 103, 100, 101, 102);
			passTime(100);
			assertThat(RecordFollowerTests.this.store.listingCount(), is(2));
			assertThat(RecordFollowerTests.this.events,
					contains("restored", "record 60", "record 102", "listed to 103"));
		}

		@Test
		void readsOnAfterAShortGap() {
			followToOffset100(0).listingAfterGaps(3_000);
			RecordFollowerTests.this.nowMillis = 3_000;
			answerRead(0, 101, 100);
			assertThat(RecordFollowerTests.this.events, contains("record 100"));
		}

		// Otherwise the order of the first page is forgotten again at the second one.
		@Test
		void returnWithoutANumberIsToldOnceIfTheListingHasTwoPages() {
			RecordFollowerTests.this.store
				.failNextRead(new StoreException(StoreException.Reason.DROPPED, "past the end"));
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 100, 99));
			RecordFollowerTests.this.store.answerNextListing(page(0, true, 90, 10));
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 90, 89));
			follower().start();
			RecordFollowerTests.this.channel.runPendingTasks();
			assertThat(RecordFollowerTests.this.events,
					contains("record 99", "listed to 100", "restored", "record 10", "record 89", "listed to 90"));
		}

		@Test
		void storeThatHasDroppedItsHistoryHasNotReturned() {
			RecordFollowerTests.this.store.failNextRead(new StoreException(StoreException.Reason.DROPPED, "expired"));
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 100, 99));
			RecordFollowerTests.this.store.answerNextListing(page(0, false, 100, 99));
			follower().start();
			RecordFollowerTests.this.channel.runPendingTasks();
			assertThat(RecordFollowerTests.this.events,
					contains("record 99", "listed to 100", "record 99", "listed to 100"));
		}

		// Live servers whose registration the store had lost were removed before they had
		// registered again.
		@Test
		void returnCountsAsDisruption() {
			RecordFollower follower = followToOffset100(1);
			RecordFollowerTests.this.nowMillis = 5_000;
			RecordFollowerTests.this.store.answerNextListing(page(2, false, 90));
			answerRead(2, 100);
			assertThat(follower.lastDisruptionAtMillis(), is(5_000L));
		}

		@Test
		void twoReturnsDuringOneListingAreToldOnceEachTimeRecordsWereDelivered() {
			followToOffset100(1);
			RecordFollowerTests.this.store.answerNextListing(page(3, true, 90, 10));
			RecordFollowerTests.this.store.answerNextListing(page(4, false, 80, 20));
			RecordFollowerTests.this.store.answerNextListing(page(4, false, 80, 10));
			answerRead(2, 100);
			assertThat(RecordFollowerTests.this.events,
					contains("restored", "record 10", "restored", "record 10", "listed to 80"));
		}

	}

	/**
	 * Store whose calls fail after the time to connect if they begin during a disruption.
	 */
	private final class DisruptedStore extends ForwardingStore {

		private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

		private final long fromMillis;

		private final long untilMillis;

		private long nowMillis;

		private DisruptedStore(long fromMillis, long untilMillis) {
			super(RecordFollowerTests.this.store);
			this.fromMillis = fromMillis;
			this.untilMillis = untilMillis;
		}

		private void advance(long millis) {
			this.nowMillis += millis;
			RecordFollowerTests.this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
			RecordFollowerTests.this.channel.runPendingTasks();
			RecordFollowerTests.this.channel.runScheduledPendingTasks();
		}

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			CompletableFuture<Batch> result = new CompletableFuture<>();
			boolean disrupted = this.nowMillis >= this.fromMillis && this.nowMillis < this.untilMillis;
			RecordFollowerTests.this.channel.eventLoop().schedule(() -> {
				if (disrupted) {
					result.completeExceptionally(new StoreException(StoreException.Reason.UNAVAILABLE, "cut"));
				}
				else {
					result.complete(Batch.fromStore(List.of(), from, 0));
				}
			}, disrupted ? CONNECT_TIMEOUT_MILLIS : waitMillis, TimeUnit.MILLISECONDS);
			return result;
		}

	}

}
