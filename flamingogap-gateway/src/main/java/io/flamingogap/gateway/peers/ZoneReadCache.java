package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
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
 * The store as this node reaches it. What this node reads is kept for a while, so that
 * other nodes of its zone read it here instead of calling the store. Only what came from
 * the store itself is passed on, never what another node relayed, so nodes can't confirm
 * each other's stale records.
 */
public final class ZoneReadCache extends ForwardingStore {

	/**
	 * A node that follows a stream hears from the store at least this often: the time of
	 * 1 s that a read may wait, the longest pause of a follower of 0.9 s, and a margin.
	 */
	private static final long FRESH_MILLIS = 2_500;

	private final EventLoop loop;

	private final LongSupplier steadyMillis;

	private final Map<StoreStream, RecordCache> recent = new EnumMap<>(StoreStream.class);

	private final Map<StoreStream, List<Waiting>> waiting = new EnumMap<>(StoreStream.class);

	/**
	 * Create without records.
	 * @param loop the event loop
	 * @param store the store
	 * @param steadyMillis tells the present time
	 */
	public ZoneReadCache(EventLoop loop, RecordStore store, LongSupplier steadyMillis) {
		super(store);
		this.loop = loop;
		this.steadyMillis = steadyMillis;
		for (StoreStream stream : StoreStream.values()) {
			this.recent.put(stream, new RecordCache());
			this.waiting.put(stream, new ArrayList<>());
		}
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		return super.read(stream, from, waitMillis).whenComplete((batch, failure) -> {
			RecordCache records = this.recent.get(stream);
			if (failure != null) {
				records.invalidate();
				takeWaiting(stream).forEach((each) -> each.fail("the relaying node lost the store"));
				return;
			}
			records.add(from, batch, this.steadyMillis.getAsLong());
			if (!batch.records().isEmpty()) {
				takeWaiting(stream).forEach((each) -> answer(stream, each));
			}
		});
	}

	/**
	 * Read for another node: what this node has read lately, or else from the store.
	 * @param stream the stream
	 * @param from the first offset to read
	 * @param waitMillis how long to wait for a record
	 * @return the records, and the offset to go on from
	 */
	public CompletableFuture<Batch> readForPeer(StoreStream stream, long from, long waitMillis) {
		RecordCache records = this.recent.get(stream);
		if (!records.isFresh(this.steadyMillis.getAsLong(), FRESH_MILLIS) || !records.covers(from)) {
			return super.read(stream, from, waitMillis);
		}
		Batch ready = records.from(from);
		if (!ready.records().isEmpty() || waitMillis <= 0) {
			return CompletableFuture.completedFuture(ready);
		}
		Waiting wait = new Waiting(from, new CompletableFuture<>());
		this.waiting.get(stream).add(wait);
		this.loop.schedule(() -> {
			if (this.waiting.get(stream).remove(wait)) {
				answer(stream, wait);
			}
		}, waitMillis, TimeUnit.MILLISECONDS);
		return wait.result;
	}

	private List<Waiting> takeWaiting(StoreStream stream) {
		List<Waiting> taken = List.copyOf(this.waiting.get(stream));
		this.waiting.get(stream).clear();
		return taken;
	}

	private void answer(StoreStream stream, Waiting wait) {
		RecordCache records = this.recent.get(stream);
		if (records.isFresh(this.steadyMillis.getAsLong(), FRESH_MILLIS) && records.covers(wait.from)) {
			wait.result.complete(records.from(wait.from));
		}
		else {
			wait.fail("the relaying node has not heard from the store");
		}
	}

	private record Waiting(long from, CompletableFuture<Batch> result) {

		private void fail(String reason) {
			this.result.completeExceptionally(new StoreException(Reason.UNAVAILABLE, reason));
		}

	}

}
