package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.RecordFollower;
import io.flamingogap.gateway.store.RecordListener;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.ScriptedStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * A node that reads through another one, while the store fails calls and drops its
 * history and the other node stops and starts to answer.
 */
class RelayedStreamPropertyTests {

	private static final long STEP_MILLIS = 100;

	private static final long FAULTS_UNTIL_MILLIS = 15_000;

	/** The users' bound to put a configuration in force. */
	private static final long APPLY_MILLIS = 2_500;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private long nowMillis;

	@Property(tries = 300, seed = "20261204")
	void newestRecordArrivesWithinTheBoundOnceFaultsHaveEndedAndNeverGoesBack(
			@ForAll @LongRange(max = 1_000_000) long seed) {
		this.nowMillis = 0;
		SplittableRandom random = new SplittableRandom(seed);
		FaultyStore store = new FaultyStore();
		ZoneReadCache shared = new ZoneReadCache(this.channel.eventLoop(), store, () -> this.nowMillis);
		Newest relay = new Newest();
		Newest member = new Newest();
		follow(shared, relay);
		follow(new Relayed(store, shared), member);
		while (this.nowMillis < FAULTS_UNTIL_MILLIS) {
			store.down = random.nextInt(4) == 0;
			store.relayAnswers = random.nextInt(4) != 0;
			if (random.nextInt(4) == 0) {
				store.append(random.nextInt(3));
			}
			if (random.nextInt(40) == 0) {
				store.dropHistory();
			}
			pass(STEP_MILLIS);
		}
		store.down = false;
		store.append(0);
		pass(APPLY_MILLIS);
		assertThat(member.byKey, is(store.newest));
		assertThat(relay.byKey, is(store.newest));
	}

	private void follow(RecordStore store, Newest listener) {
		new RecordFollower(this.channel.eventLoop(), store, StoreStream.OPERATOR, 0, listener, () -> this.nowMillis)
			.start();
		this.channel.runPendingTasks();
	}

	private void pass(long millis) {
		for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
			this.nowMillis += STEP_MILLIS;
			this.channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
			this.channel.runPendingTasks();
			this.channel.runScheduledPendingTasks();
		}
	}

	private static final class Newest implements RecordListener {

		private final Map<String, Long> byKey = new HashMap<>();

		@Override
		public void onRecord(StoredRecord entry) {
			this.byKey.merge(entry.key(), entry.offset(), Math::max);
		}

		@Override
		public void onListed(Set<String> keys, long end) {
		}

	}

	/** Reads through the other node while it answers, otherwise from the store. */
	private static final class Relayed extends ForwardingStore {

		private final FaultyStore store;

		private final ZoneReadCache relay;

		private Relayed(FaultyStore store, ZoneReadCache relay) {
			super(store);
			this.store = store;
			this.relay = relay;
		}

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			if (!this.store.relayAnswers) {
				return super.read(stream, from, waitMillis);
			}
			return this.relay.readForPeer(stream, from, waitMillis)
				.thenApply((batch) -> new Batch(batch.records(), batch.nextOffset(), true));
		}

	}

	/** One stream in memory. Reads that find nothing wait for the time they allow. */
	private final class FaultyStore extends ForwardingStore {

		private final TreeMap<Long, StoredRecord> records = new TreeMap<>();

		private final Map<String, Long> newest = new HashMap<>();

		private final List<Waiting> waiting = new ArrayList<>();

		private long first;

		private long end;

		private boolean down;

		private boolean relayAnswers = true;

		private FaultyStore() {
			super(new ScriptedStore());
		}

		private void append(int key) {
			StoredRecord entry = new StoredRecord("key-" + key, Optional.of(new byte[1]), this.end++);
			this.records.put(entry.offset(), entry);
			this.newest.put(entry.key(), entry.offset());
			List<Waiting> woken = List.copyOf(this.waiting);
			this.waiting.clear();
			woken.forEach((each) -> answer(each.from, each.result));
		}

		private void dropHistory() {
			this.first = this.end;
			List<Waiting> cut = List.copyOf(this.waiting);
			this.waiting.clear();
			cut.forEach(
					(each) -> each.result.completeExceptionally(new StoreException(Reason.UNKNOWN, "connection cut")));
		}

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			CompletableFuture<Batch> result = new CompletableFuture<>();
			if (!this.down && from == this.end && from >= this.first && waitMillis > 0) {
				Waiting wait = new Waiting(from, result);
				this.waiting.add(wait);
				RelayedStreamPropertyTests.this.channel.eventLoop().schedule(() -> {
					if (this.waiting.remove(wait)) {
						answer(from, result);
					}
				}, waitMillis, TimeUnit.MILLISECONDS);
			}
			else {
				RelayedStreamPropertyTests.this.channel.eventLoop().execute(() -> answer(from, result));
			}
			return result;
		}

		private void answer(long from, CompletableFuture<Batch> result) {
			if (this.down) {
				result.completeExceptionally(new StoreException(Reason.UNAVAILABLE, "down"));
			}
			else if (from < this.first) {
				result.completeExceptionally(new StoreException(Reason.DROPPED, "gone"));
			}
			else {
				result.complete(new Batch(List.copyOf(this.records.tailMap(from).values()), this.end, false));
			}
		}

		@Override
		public CompletableFuture<Page> newest(StoreStream stream, Optional<String> after) {
			if (this.down) {
				return CompletableFuture.failedFuture(new StoreException(Reason.UNAVAILABLE, "down"));
			}
			List<StoredRecord> page = this.newest.values().stream().map(this.records::get).toList();
			return CompletableFuture.completedFuture(new Page(page, false, this.end));
		}

	}

	private record Waiting(long from, CompletableFuture<RecordStore.Batch> result) {
	}

}
