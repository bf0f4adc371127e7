package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;

import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;

/**
 * This node's direct access to the store, with a cache of the records that it read. The
 * other nodes of the zone read from the cache instead of calling the store. The cache
 * only has records that came from the store itself, never those that another node
 * relayed, so that nodes can't confirm each other's stale records.
 * <p>
 * When the store has returned in a later timeline, open reads fail as dropped and the
 * cache begins anew, so that every reader lists its stream again.
 */
public final class ZoneReadCache extends ForwardingStore {

	/**
	 * The maximum age of the store's last answer at which the cache is used, also at the
	 * end of a peer's wait. A node that follows a stream gets an answer within
	 * {@link io.flamingogap.gateway.store.RecordFollower#MAX_READ_CYCLE_MILLIS}. A peer
	 * that is refused at this age still reads the store itself before it has to know that
	 * a server has left.
	 */
	private static final long MAX_AGE_MILLIS = 2_000;

	private final EventLoop loop;

	private final LongSupplier steadyMillis;

	private final Map<StoreStream, RecordCache> caches = new EnumMap<>(StoreStream.class);

	private final Map<StoreStream, List<WaitingRead>> waitingReads = new EnumMap<>(StoreStream.class);

	private final Map<StoreStream, Long> droppedOffsets = new EnumMap<>(StoreStream.class);

	private final Map<StoreStream, ListedEnd> listedEnds = new EnumMap<>(StoreStream.class);

	/** The offset from which this node reads each stream for itself at the moment. */
	private final Map<StoreStream, Long> ownReadOffsets = new EnumMap<>(StoreStream.class);

	/** Waiting reads of the store that were made for peers, by what they read. */
	private final Map<PeerRead, CompletableFuture<Batch>> openPeerReads = new HashMap<>();

	private final SharedListings listings;

	private final KnownTimeline knownTimeline = new KnownTimeline();

	private final OpenReads openReads = new OpenReads();

	/**
	 * Create a store with an empty cache.
	 * @param loop the event loop
	 * @param store the store to read from
	 * @param steadyMillis the monotonic clock, in milliseconds
	 */
	public ZoneReadCache(EventLoop loop, RecordStore store, LongSupplier steadyMillis) {
		super(store);
		this.loop = loop;
		this.steadyMillis = steadyMillis;
		this.listings = new SharedListings(new ForwardingStore(store) {
			@Override
			public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
				return listDirectly(stream, after);
			}
		});
		this.knownTimeline.whenChanged(this::reset);
		for (StoreStream stream : StoreStream.values()) {
			this.caches.put(stream, new RecordCache());
			this.waitingReads.put(stream, new ArrayList<>());
		}
	}

	/**
	 * Return the newest timeline that this node knows of.
	 * @return the timeline, to be shared with the other ways to reach the store
	 */
	KnownTimeline knownTimeline() {
		return this.knownTimeline;
	}

	@Override
	public long timeline() {
		return this.knownTimeline.number();
	}

	/**
	 * Forget what was read and listed, and fail open reads as dropped, because the store
	 * has returned from an earlier copy.
	 */
	void reset() {
		this.caches.values().forEach(RecordCache::markStale);
		this.ownReadOffsets.clear();
		this.listedEnds.clear();
		this.droppedOffsets.clear();
		this.openPeerReads.clear();
		this.listings.forgetAll();
		StoreException failure = new StoreException(Reason.DROPPED,
				"the store has returned in timeline " + this.knownTimeline.number());
		for (StoreStream stream : StoreStream.values()) {
			removeWaiting(stream).forEach((each) -> each.result.completeExceptionally(failure));
		}
		this.openReads.failAll(failure);
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		RecordCache cache = this.caches.get(stream);
		ListedEnd listed = this.listedEnds.remove(stream);
		boolean isUsable = cache.isFresh(this.steadyMillis.getAsLong(), MAX_AGE_MILLIS) && cache.covers(from);
		if (!isUsable && listed != null && listed.offset == from) {
			cache.startAt(from, listed.timeline, listed.askedAtMillis);
		}
		this.ownReadOffsets.put(stream, from);
		long timelineAtCall = this.knownTimeline.number();
		return readDirectly(stream, from, waitMillis).whenComplete((batch, failure) -> {
			if (this.knownTimeline.number() != timelineAtCall) {
				return;
			}
			this.ownReadOffsets.remove(stream);
			if (failure != null) {
				cache.markStale();
				onFailure(stream, from, StoreException.of(failure));
				return;
			}
			cache.add(from, batch, this.steadyMillis.getAsLong());
			if (!batch.records().isEmpty()) {
				removeWaiting(stream).forEach((each) -> complete(stream, each));
			}
		});
	}

	private CompletableFuture<Batch> readDirectly(StoreStream stream, long from, long waitMillis) {
		return this.openReads.add(super.read(stream, from, waitMillis).handle((batch, failure) -> {
			learnTimeline();
			if (failure != null) {
				throw StoreException.of(failure);
			}
			requireCurrent(batch.timeline(), Reason.UNAVAILABLE);
			return batch;
		}));
	}

	private CompletableFuture<Page> listDirectly(StoreStream stream, Optional<String> after) {
		long askedAtMillis = this.steadyMillis.getAsLong();
		return super.listNewest(stream, after).handle((page, failure) -> {
			learnTimeline();
			if (failure != null) {
				throw StoreException.of(failure);
			}
			requireCurrent(page.timeline(), Reason.UNAVAILABLE);
			this.listedEnds.put(stream, new ListedEnd(page.endOffset(), page.timeline(), askedAtMillis));
			return page;
		});
	}

	private <T> CompletableFuture<T> write(CompletableFuture<T> answer) {
		return answer.handle((value, failure) -> {
			learnTimeline();
			if (failure != null) {
				throw StoreException.of(failure);
			}
			requireCurrent(super.timeline(), Reason.UNKNOWN);
			return value;
		});
	}

	private void learnTimeline() {
		this.knownTimeline.learn(super.timeline());
	}

	private void requireCurrent(long timeline, Reason reasonIfPast) {
		this.knownTimeline.learn(timeline);
		if (this.knownTimeline.isPast(timeline)) {
			throw new StoreException(reasonIfPast,
					"the store answered in timeline " + timeline + " after " + this.knownTimeline.number());
		}
	}

	@Override
	public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
			OptionalLong expectedOffset) {
		return write(super.append(stream, key, value, expectedOffset));
	}

	@Override
	public CompletableFuture<Long> appendAll(StoreStream stream, List<NewRecord> records) {
		return write(super.appendAll(stream, records));
	}

	@Override
	public CompletableFuture<GroupView> join(String member, long generation, long ttlMillis) {
		return write(super.join(member, generation, ttlMillis));
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return write(super.leave(member));
	}

	private void onFailure(StoreStream stream, long from, StoreException failure) {
		List<WaitingRead> failed = removeWaiting(stream);
		if (failure.reason().areRecordsMissing()) {
			recordDropped(stream, from);
			failed.forEach((each) -> each.result.completeExceptionally(failure));
		}
		else {
			failed
				.forEach((each) -> each.fail("the relay node failed to read from the store: " + failure.getMessage()));
		}
	}

	private void recordDropped(StoreStream stream, long offset) {
		this.droppedOffsets.merge(stream, offset, Math::max);
		this.listings.forgetUpTo(stream, offset);
	}

	@Override
	public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
		return this.listings.list(stream, after, this.steadyMillis.getAsLong()).whenComplete((page, failure) -> {
			if (failure == null && page.endOffset() <= this.droppedOffsets.getOrDefault(stream, -1L)) {
				// The store numbers the records of the stream anew.
				this.droppedOffsets.remove(stream);
			}
		});
	}

	/**
	 * Read for another node: from the cache if it is fresh and covers the offset,
	 * otherwise from the store.
	 * @param stream the stream
	 * @param from the offset of the first record to read
	 * @param waitMillis how long to wait for a record, in milliseconds; the wait ends
	 * earlier, with a failure, when the cache is no longer fresh
	 * @return the records, which may be none, and the offset to continue from
	 */
	public CompletableFuture<Batch> readForPeer(StoreStream stream, long from, long waitMillis) {
		if (from <= this.droppedOffsets.getOrDefault(stream, -1L)) {
			return CompletableFuture
				.failedFuture(new StoreException(Reason.DROPPED, "the store has dropped the record at offset " + from));
		}
		RecordCache cache = this.caches.get(stream);
		long nowMillis = this.steadyMillis.getAsLong();
		boolean isFresh = cache.isFresh(nowMillis, MAX_AGE_MILLIS);
		boolean awaitsOwnRead = isFresh && waitMillis > 0 && cache.endsBefore(from)
				&& this.ownReadOffsets.getOrDefault(stream, Long.MAX_VALUE) <= from;
		if (!awaitsOwnRead && !(isFresh && cache.covers(from))) {
			return readDirectlyForPeer(stream, from, waitMillis);
		}
		Batch cached = cache.batchFrom(from, nowMillis);
		if (!awaitsOwnRead && (!cached.records().isEmpty() || waitMillis <= 0)) {
			return CompletableFuture.completedFuture(cached);
		}
		WaitingRead waitingRead = new WaitingRead(from, new CompletableFuture<>());
		this.waitingReads.get(stream).add(waitingRead);
		this.loop.schedule(() -> {
			if (this.waitingReads.get(stream).remove(waitingRead)) {
				complete(stream, waitingRead);
			}
		}, Math.min(waitMillis, MAX_AGE_MILLIS - cached.ageMillis() + 1), TimeUnit.MILLISECONDS);
		return waitingRead.result;
	}

	private CompletableFuture<Batch> readDirectlyForPeer(StoreStream stream, long from, long waitMillis) {
		if (waitMillis <= 0) {
			return callForPeer(stream, from, waitMillis);
		}
		PeerRead key = new PeerRead(stream, from);
		CompletableFuture<Batch> open = this.openPeerReads.get(key);
		if (open != null) {
			return open;
		}
		CompletableFuture<Batch> answer = callForPeer(stream, from, waitMillis);
		this.openPeerReads.put(key, answer);
		answer.whenComplete((batch, failure) -> this.openPeerReads.remove(key, answer));
		return answer;
	}

	private CompletableFuture<Batch> callForPeer(StoreStream stream, long from, long waitMillis) {
		long timelineAtCall = this.knownTimeline.number();
		return readDirectly(stream, from, waitMillis).whenComplete((batch, failure) -> {
			// Beyond the end that this node knows, only the peer's offset is outdated.
			if (failure != null && StoreException.of(failure).reason().areRecordsMissing()
					&& this.knownTimeline.number() == timelineAtCall && !this.caches.get(stream).endsBefore(from)) {
				recordDropped(stream, from);
			}
		});
	}

	private List<WaitingRead> removeWaiting(StoreStream stream) {
		List<WaitingRead> removed = List.copyOf(this.waitingReads.get(stream));
		this.waitingReads.get(stream).clear();
		return removed;
	}

	private void complete(StoreStream stream, WaitingRead waitingRead) {
		RecordCache cache = this.caches.get(stream);
		long nowMillis = this.steadyMillis.getAsLong();
		if (!cache.isFresh(nowMillis, MAX_AGE_MILLIS)) {
			waitingRead.fail("the relay node got no answer from the store within the last " + MAX_AGE_MILLIS
					+ " ms that covers offset " + waitingRead.from);
		}
		else if (cache.covers(waitingRead.from)) {
			waitingRead.result.complete(cache.batchFrom(waitingRead.from, nowMillis));
		}
		else {
			readDirectlyForPeer(stream, waitingRead.from, 0).whenComplete((batch, failure) -> {
				if (failure != null) {
					waitingRead.result.completeExceptionally(failure);
				}
				else {
					waitingRead.result.complete(batch);
				}
			});
		}
	}

	private record PeerRead(StoreStream stream, long from) {
	}

	/** The end of a stream as a listing has shown it. */
	private record ListedEnd(long offset, long timeline, long askedAtMillis) {
	}

	private record WaitingRead(long from, CompletableFuture<Batch> result) {

		private void fail(String reason) {
			this.result.completeExceptionally(new StoreException(Reason.UNAVAILABLE, reason));
		}

	}

}
