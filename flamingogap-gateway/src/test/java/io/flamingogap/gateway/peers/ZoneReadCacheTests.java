package io.flamingogap.gateway.peers;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.gateway.store.RecordStore.Batch;
import io.flamingogap.gateway.store.RecordStore.Page;
import io.flamingogap.gateway.store.ScriptedStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ZoneReadCache}: which reads of other nodes it answers from the cache.
 */
class ZoneReadCacheTests {

	private static final long WAIT_MILLIS = 1_000;

	private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

	private final ScriptedStore store = new ScriptedStore();

	private long nowMillis = 100_000;

	private final ZoneReadCache cache = new ZoneReadCache(this.channel.eventLoop(), this.store, () -> this.nowMillis);

	private static StoredRecord entry(long offset) {
		return new StoredRecord("key", Optional.of(new byte[1]), offset);
	}

	private CompletableFuture<Batch> readForPeer(long from) {
		return this.cache.readForPeer(StoreStream.SERVERS, from, WAIT_MILLIS);
	}

	private static List<Long> offsets(CompletableFuture<Batch> read) {
		assertThat(read.isDone(), is(true));
		return read.join().records().stream().map(StoredRecord::offset).toList();
	}

	@BeforeEach
	void fillCache() {
		this.cache.read(StoreStream.SERVERS, 7, WAIT_MILLIS);
		this.store.pendingRead().complete(Batch.fromStore(List.of(entry(7), entry(8)), 9, 0));
		this.cache.read(StoreStream.SERVERS, 9, WAIT_MILLIS);
	}

	@Test
	void answersPeerFromTheCacheWithoutAStoreCall() {
		assertThat(offsets(readForPeer(8)), contains(8L));
		assertThat(this.store.readOffsets(), contains(7L, 9L));
	}

	@Test
	void answersWaitingPeerWhenARecordArrives() {
		CompletableFuture<Batch> peer = readForPeer(9);
		assertThat(peer.isDone(), is(false));
		this.store.pendingRead().complete(Batch.fromStore(List.of(entry(9)), 10, 0));
		assertThat(offsets(peer), contains(9L));
		assertThat(peer.join().nextOffset(), is(10L));
	}

	@Test
	void answersWaitingPeerWithoutRecordsWhenItsWaitEnds() {
		CompletableFuture<Batch> peer = readForPeer(9);
		this.channel.advanceTimeBy(WAIT_MILLIS, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(peer.join(), is(new Batch(List.of(), 9, false, 0, 0)));
	}

	@Test
	void answersPeerWithTheAgeOfTheStoresAnswer() {
		this.nowMillis += 700;
		assertThat(readForPeer(8).join().ageMillis(), is(700L));
	}

	@Test
	void failsWaitingPeerWhenTheStoresAnswerIsTooOld() {
		this.nowMillis += 1_500;
		CompletableFuture<Batch> peer = readForPeer(9);
		this.nowMillis += 501;
		this.channel.advanceTimeBy(501, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
		assertThat(peer.isCompletedExceptionally(), is(true));
	}

	@Test
	void failsWaitingPeerWhenTheStoreFails() {
		CompletableFuture<Batch> peer = readForPeer(9);
		this.store.pendingRead()
			.completeExceptionally(new StoreException(StoreException.Reason.UNAVAILABLE, "refused"));
		assertThat(peer.isCompletedExceptionally(), is(true));
	}

	// Peers left their relay for seconds when the store had dropped its history, and each
	// called the store.
	@Test
	void tellsWaitingPeerThatTheRecordsAreDropped() {
		CompletableFuture<Batch> peer = readForPeer(9);
		this.store.pendingRead().completeExceptionally(new StoreException(StoreException.Reason.DROPPED, "gone"));
		assertThat(reasonOf(peer), is(StoreException.Reason.DROPPED));
	}

	@Test
	void answersPeerThatReadsDroppedRecordsWithoutAStoreCall() {
		this.store.pendingRead().completeExceptionally(new StoreException(StoreException.Reason.DROPPED, "gone"));
		assertThat(reasonOf(readForPeer(8)), is(StoreException.Reason.DROPPED));
		assertThat(this.store.readOffsets(), contains(7L, 9L));
	}

	@Test
	void readsAgainWhenTheStoreNumbersItsRecordsAnew() {
		this.store.pendingRead().completeExceptionally(new StoreException(StoreException.Reason.DROPPED, "gone"));
		this.cache.listNewest(StoreStream.SERVERS, Optional.empty());
		readForPeer(7);
		assertThat(this.store.readOffsets(), contains(7L, 9L, 7L));
	}

	private static StoreException.Reason reasonOf(CompletableFuture<?> result) {
		assertThat(result.isDone(), is(true));
		return result.handle((value, failure) -> StoreException.of(failure).reason()).join();
	}

	@Test
	void readsFromTheStoreWhenTheCacheIsStale() {
		this.nowMillis += 3_000;
		CompletableFuture<Batch> peer = readForPeer(8);
		assertThat(peer.isDone(), is(false));
		assertThat(this.store.readOffsets(), contains(7L, 9L, 8L));
	}

	@Test
	void readsRecordsBeforeTheCachedOnesFromTheStore() {
		readForPeer(3);
		assertThat(this.store.readOffsets(), contains(7L, 9L, 3L));
	}

	@Test
	void dropsCachedRecordsBeforeAGap() {
		this.cache.read(StoreStream.SERVERS, 20, WAIT_MILLIS);
		this.store.pendingRead().complete(Batch.fromStore(List.of(entry(20)), 21, 0));
		assertThat(offsets(readForPeer(20)), contains(20L));
		readForPeer(8);
		assertThat(this.store.readOffsets(), contains(7L, 9L, 20L, 8L));
	}

	private void readRecordOfTimeline(long timeline) {
		this.store.pendingRead().complete(Batch.fromStore(List.of(entry(9)), 10, timeline));
	}

	// Records of the time after the store's return were handed on as if they followed
	// those that it had lost.
	@Test
	void readsOpenAcrossAReturnOfTheStoreFailAsDropped() {
		CompletableFuture<Batch> peer = readForPeer(9);
		CompletableFuture<Batch> own = this.cache.read(StoreStream.SERVERS, 9, WAIT_MILLIS);
		readRecordOfTimeline(1);
		assertThat(reasonOf(peer), is(StoreException.Reason.DROPPED));
		assertThat(reasonOf(own), is(StoreException.Reason.DROPPED));
	}

	@Test
	void readsOfAllStreamsFailAsSoonAsOneShowsTheReturn() {
		CompletableFuture<Batch> peer = readForPeer(9);
		CompletableFuture<Batch> early = readForPeer(3);
		this.cache.read(StoreStream.OPERATOR, 0, WAIT_MILLIS);
		readRecordOfTimeline(1);
		assertThat(reasonOf(peer), is(StoreException.Reason.DROPPED));
		assertThat(reasonOf(early), is(StoreException.Reason.DROPPED));
	}

	@Test
	void cachedRecordsOfAnEarlierTimelineAnswerNobody() {
		this.cache.read(StoreStream.OPERATOR, 0, WAIT_MILLIS);
		readRecordOfTimeline(1);
		assertThat(readForPeer(8).isDone(), is(false));
		assertThat(this.store.readOffsets(), contains(7L, 9L, 0L, 8L));
	}

	@Test
	void recordsOfTwoTimelinesAreNotCachedTogether() {
		this.cache.read(StoreStream.OPERATOR, 0, WAIT_MILLIS);
		readRecordOfTimeline(1);
		this.cache.read(StoreStream.SERVERS, 9, WAIT_MILLIS);
		readRecordOfTimeline(1);
		assertThat(offsets(readForPeer(9)), contains(9L));
		assertThat(readForPeer(8).isDone(), is(false));
	}

	@Test
	void lateAnswerOfAnEarlierTimelineFailsAndIsNotCached() {
		CompletableFuture<Batch> late = this.cache.read(StoreStream.SERVERS, 20, WAIT_MILLIS);
		CompletableFuture<Batch> answer = this.store.pendingRead();
		this.cache.read(StoreStream.OPERATOR, 0, WAIT_MILLIS);
		readRecordOfTimeline(2);
		answer.complete(Batch.fromStore(List.of(entry(20)), 21, 1));
		assertThat(reasonOf(late), is(StoreException.Reason.DROPPED));
		assertThat(readForPeer(20).isDone(), is(false));
	}

	// A listing of the time before the store's return was shared with nodes that asked
	// after it.
	@Test
	void listingOfAnEarlierTimelineAnswersNobody() {
		this.cache.listNewest(StoreStream.SERVERS, Optional.empty());
		this.cache.read(StoreStream.OPERATOR, 0, WAIT_MILLIS);
		readRecordOfTimeline(1);
		CompletableFuture<Page> late = this.cache.listNewest(StoreStream.SERVERS, Optional.empty());
		assertThat(this.store.listingCount(), is(2));
		assertThat(reasonOf(late), is(StoreException.Reason.UNAVAILABLE));
	}

	// After a return of a store without numbers, each node that had not noticed it made
	// all nodes of the zone list the stream again.
	@Test
	void readBeyondTheEndDoesNotTellOtherPeersThatRecordsAreDropped() {
		CompletableFuture<Batch> stale = this.cache.readForPeer(StoreStream.SERVERS, 50, 0);
		this.store.pendingRead().completeExceptionally(new StoreException(StoreException.Reason.DROPPED, "cut"));
		assertThat(reasonOf(stale), is(StoreException.Reason.DROPPED));
		assertThat(offsets(readForPeer(8)), contains(8L));
		assertThat(readForPeer(9).isDone(), is(false));
	}

	// All nodes of a zone called the store for the same records after they had listed the
	// stream again.
	@Test
	void peersWaitForTheFirstReadAfterAListing() {
		this.store.pendingRead().completeExceptionally(new StoreException(StoreException.Reason.DROPPED, "gone"));
		this.cache.listNewest(StoreStream.SERVERS, Optional.empty());
		this.cache.read(StoreStream.SERVERS, 7, WAIT_MILLIS);
		CompletableFuture<Batch> first = readForPeer(7);
		CompletableFuture<Batch> second = readForPeer(8);
		this.store.pendingRead().complete(Batch.fromStore(List.of(entry(7), entry(8)), 9, 0));
		assertThat(offsets(first), contains(7L, 8L));
		assertThat(offsets(second), contains(8L));
		assertThat(this.store.readOffsets(), contains(7L, 9L, 7L));
	}

	@Test
	void peersThatReadFromOneOffsetShareAStoreCall() {
		this.nowMillis += 3_000;
		CompletableFuture<Batch> first = readForPeer(8);
		CompletableFuture<Batch> second = readForPeer(8);
		assertThat(this.store.readOffsets(), contains(7L, 9L, 8L));
		this.store.pendingRead().complete(Batch.fromStore(List.of(entry(8)), 9, 0));
		assertThat(offsets(first), contains(8L));
		assertThat(offsets(second), contains(8L));
		readForPeer(8);
		assertThat(this.store.readOffsets(), contains(7L, 9L, 8L, 8L));
	}

	@Test
	void peerThatDoesNotWaitSharesNoCall() {
		this.nowMillis += 3_000;
		readForPeer(8);
		this.cache.readForPeer(StoreStream.SERVERS, 8, 0);
		assertThat(this.store.readOffsets(), contains(7L, 9L, 8L, 8L));
	}

	@Test
	void peerThatWaitsForTheFirstReadAfterAListingFailsWithIt() {
		this.store.pendingRead().completeExceptionally(new StoreException(StoreException.Reason.DROPPED, "gone"));
		this.cache.listNewest(StoreStream.SERVERS, Optional.empty());
		this.cache.read(StoreStream.SERVERS, 7, WAIT_MILLIS);
		CompletableFuture<Batch> peer = readForPeer(7);
		this.store.pendingRead().completeExceptionally(new StoreException(StoreException.Reason.UNKNOWN, "silent"));
		assertThat(reasonOf(peer), is(StoreException.Reason.UNAVAILABLE));
	}

}
