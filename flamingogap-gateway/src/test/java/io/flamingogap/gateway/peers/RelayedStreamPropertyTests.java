package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.RecordFollower;
import io.flamingogap.gateway.store.RecordListener;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.ScriptedStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.store.UnnumberedReturns;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Checks a node that reads the store through another one, the relay, while the store
 * fails calls and drops its history and the relay stops and resumes answering.
 */
class RelayedStreamPropertyTests {

	private static final long STEP_MILLIS = 100;

	private static final long FAULTS_UNTIL_MILLIS = 15_000;

	/** The time within which the users expect a configuration to be applied. */
	private static final long APPLY_MILLIS = 2_500;

	/** The time after which no request may follow a departure. */
	private static final long DRAIN_MILLIS = 2_500;

	private static final long RELAY_PAUSE_MILLIS = 900;

	private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

	private long nowMillis;

	@Property(tries = 300, seed = "20261204")
	void newestRecordArrivesWithinTheBoundOnceFaultsHaveEndedAndNeverGoesBack(
			@ForAll @LongRange(max = 1_000_000) long seed) {
		this.nowMillis = 0;
		SplittableRandom random = new SplittableRandom(seed);
		FaultyStore store = new FaultyStore();
		ZoneReadCache cache = new ZoneReadCache(this.channel.eventLoop(), store, () -> this.nowMillis);
		NewestOffsets relay = new NewestOffsets();
		NewestOffsets reader = new NewestOffsets();
		follow(cache, relay);
		follow(new RelayedReads(store, cache), reader);
		while (this.nowMillis < FAULTS_UNTIL_MILLIS) {
			store.down = random.nextInt(4) == 0;
			store.relayAnswers = random.nextInt(4) != 0;
			if (random.nextInt(4) == 0) {
				store.append(random.nextInt(3));
			}
			if (random.nextInt(40) == 0) {
				store.dropHistory();
			}
			advanceTime(STEP_MILLIS);
		}
		store.down = false;
		store.append(0);
		advanceTime(APPLY_MILLIS);
		assertThat(reader.newestOffsetByKey, is(store.newest));
		assertThat(relay.newestOffsetByKey, is(store.newest));
	}

	// Records that were written again after a return of the store, at offsets that had
	// been given out before, were never read.
	@Property(tries = 300, seed = "20261207")
	void newestRecordArrivesWithinTheBoundAfterReturnsOfTheStore(@ForAll @LongRange(max = 1_000_000) long seed) {
		this.nowMillis = 0;
		SplittableRandom random = new SplittableRandom(seed);
		FaultyStore store = new FaultyStore();
		store.timeline = 1;
		NewestOffsets reader = new NewestOffsets();
		follow(store, reader);
		runWithReturns(store, random);
		assertThat(reader.newestOffsetByKey, is(store.newest));
	}

	// A relay handed out records that the store had lost, as if they followed those of
	// the
	// store that had returned.
	@Property(tries = 300, seed = "20261207")
	void newestRecordArrivesThroughTheRelayAfterReturnsOfTheStore(@ForAll @LongRange(max = 1_000_000) long seed) {
		this.nowMillis = 0;
		SplittableRandom random = new SplittableRandom(seed);
		FaultyStore store = new FaultyStore();
		store.timeline = 1;
		ZoneReadCache cache = new ZoneReadCache(this.channel.eventLoop(), store, () -> this.nowMillis);
		NewestOffsets relay = new NewestOffsets();
		NewestOffsets reader = new NewestOffsets();
		follow(cache, relay);
		follow(new RelayedReads(store, cache), reader);
		runWithReturns(store, random);
		assertThat(reader.newestOffsetByKey, is(store.newest));
		assertThat(relay.newestOffsetByKey, is(store.newest));
	}

	private void runWithReturns(FaultyStore store, SplittableRandom random) {
		while (this.nowMillis < FAULTS_UNTIL_MILLIS) {
			store.down = random.nextInt(8) == 0;
			store.relayAnswers = random.nextInt(4) != 0;
			if (random.nextInt(4) == 0) {
				store.append(random.nextInt(3));
			}
			if (random.nextInt(20) == 0) {
				store.returnFromCopy(random.nextInt(6));
			}
			if (random.nextInt(4) == 0) {
				store.writeAgain();
			}
			advanceTime(STEP_MILLIS);
		}
		store.down = false;
		store.writeAgain();
		advanceTime(APPLY_MILLIS);
	}

	// Nodes took the silence of a relay that had lost the store for "no new records", and
	// sent requests to servers that had left.
	@ParameterizedTest
	@ValueSource(ints = { 0, 100, 200, 400, 600, 800, 900, 1_000, 1_300, 1_600, 1_900 })
	void recordArrivesWithinTheBoundWhenTheStoreFallsSilentForTheRelay(int silentAfterReadMillis) {
		FaultyStore store = new FaultyStore();
		SilentStore relaysStore = new SilentStore(store);
		ZoneReadCache cache = new ZoneReadCache(this.channel.eventLoop(), relaysStore, () -> this.nowMillis);
		NewestOffsets reader = new NewestOffsets();
		follow(cache, new NewestOffsets(), RELAY_PAUSE_MILLIS);
		follow(new RelayedReads(store, cache), reader);
		advanceTime(3_000);
		store.append(0);
		advanceTime(STEP_MILLIS);
		advanceTime(silentAfterReadMillis);
		relaysStore.silent = true;
		store.append(1);
		advanceTime(DRAIN_MILLIS);
		assertThat(reader.newestOffsetByKey, is(store.newest));
	}

	private void follow(RecordStore store, NewestOffsets listener) {
		follow(store, listener, 0);
	}

	private void follow(RecordStore store, NewestOffsets listener, long pauseMillis) {
		new RecordFollower(this.channel.eventLoop(), store, StoreStream.OPERATOR, pauseMillis, listener,
				() -> this.nowMillis, new UnnumberedReturns())
			.start();
		this.channel.runPendingTasks();
	}

	private void advanceTime(long millis) {
		for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
			this.nowMillis += STEP_MILLIS;
			this.channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
			this.channel.runPendingTasks();
			this.channel.runScheduledPendingTasks();
		}
	}

	private static final class NewestOffsets implements RecordListener {

		private final Map<String, Long> newestOffsetByKey = new HashMap<>();

		@Override
		public void onRecord(StoredRecord entry) {
			this.newestOffsetByKey.merge(entry.key(), entry.offset(), Math::max);
		}

		@Override
		public void onListed(Set<String> keys, long endOffset) {
		}

		@Override
		public void onStoreRestored() {
			this.newestOffsetByKey.clear();
		}

	}

	/** A store that doesn't answer one node; its calls end with the client's timeout. */
	private final class SilentStore extends ForwardingStore {

		private static final long TIMEOUT_MARGIN_MILLIS = 700;

		private boolean silent;

		private SilentStore(RecordStore store) {
			super(store);
		}

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			CompletableFuture<Batch> result = new CompletableFuture<>();
			super.read(stream, from, waitMillis).whenComplete((batch, failure) -> {
				if (!this.silent) {
					result.complete(batch);
				}
			});
			RelayedStreamPropertyTests.this.channel.eventLoop()
				.schedule(() -> result.completeExceptionally(new StoreException(Reason.UNKNOWN, "silent")),
						waitMillis + TIMEOUT_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
			return result;
		}

	}

	/** Reads through the relay while it answers, otherwise from the store. */
	private static final class RelayedReads extends ForwardingStore {

		private final FaultyStore store;

		private final ZoneReadCache relay;

		private RelayedReads(FaultyStore store, ZoneReadCache relay) {
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
				.thenApply((batch) -> new Batch(batch.records(), batch.nextOffset(), true, batch.ageMillis(),
						batch.timeline()))
				.exceptionallyCompose((failure) -> (StoreException.of(failure).reason() == Reason.DROPPED)
						? CompletableFuture.failedFuture(failure) : super.read(stream, from, 0));
		}

		@Override
		public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
			return this.store.relayAnswers ? this.relay.listNewest(stream, after) : super.listNewest(stream, after);
		}

	}

	/**
	 * A store with one stream in memory. A read that finds no record waits for one, up to
	 * the time that the read allows.
	 */
	private final class FaultyStore extends ForwardingStore {

		private final TreeMap<Long, StoredRecord> records = new TreeMap<>();

		private final Map<String, Long> newest = new HashMap<>();

		private final List<WaitingRead> waitingReads = new ArrayList<>();

		private final Set<String> lostKeys = new TreeSet<>();

		private long timeline = RecordStore.UNNUMBERED_TIMELINE;

		private long firstOffset;

		private long endOffset;

		private boolean down;

		private boolean relayAnswers = true;

		private FaultyStore() {
			super(new ScriptedStore());
		}

		private void append(int key) {
			append("key-" + key);
		}

		private void append(String key) {
			StoredRecord entry = new StoredRecord(key, Optional.of(new byte[1]), this.endOffset++);
			this.lostKeys.remove(key);
			this.records.put(entry.offset(), entry);
			this.newest.put(entry.key(), entry.offset());
			List<WaitingRead> completed = List.copyOf(this.waitingReads);
			this.waitingReads.clear();
			completed.forEach((each) -> complete(each.from, each.result));
		}

		private void dropHistory() {
			this.firstOffset = this.endOffset;
			cutWaitingReads();
		}

		/** Return from a copy that lacks the last records. */
		private void returnFromCopy(int lostRecords) {
			this.timeline++;
			this.endOffset = Math.max(this.firstOffset, this.endOffset - lostRecords);
			Map<Long, StoredRecord> lost = this.records.tailMap(this.endOffset);
			lost.values().forEach((entry) -> this.lostKeys.add(entry.key()));
			lost.clear();
			this.newest.clear();
			this.records.values().forEach((entry) -> this.newest.put(entry.key(), entry.offset()));
			cutWaitingReads();
		}

		private void writeAgain() {
			List.copyOf(this.lostKeys).forEach(this::append);
		}

		private void cutWaitingReads() {
			List<WaitingRead> failed = List.copyOf(this.waitingReads);
			this.waitingReads.clear();
			failed.forEach(
					(each) -> each.result.completeExceptionally(new StoreException(Reason.UNKNOWN, "connection cut")));
		}

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			CompletableFuture<Batch> result = new CompletableFuture<>();
			if (!this.down && from == this.endOffset && from >= this.firstOffset && waitMillis > 0) {
				WaitingRead waitingRead = new WaitingRead(from, result);
				this.waitingReads.add(waitingRead);
				RelayedStreamPropertyTests.this.channel.eventLoop().schedule(() -> {
					if (this.waitingReads.remove(waitingRead)) {
						complete(from, result);
					}
				}, waitMillis, TimeUnit.MILLISECONDS);
			}
			else {
				RelayedStreamPropertyTests.this.channel.eventLoop().execute(() -> complete(from, result));
			}
			return result;
		}

		private void complete(long from, CompletableFuture<Batch> result) {
			if (this.down) {
				result.completeExceptionally(new StoreException(Reason.UNAVAILABLE, "down"));
			}
			else if (from < this.firstOffset || from > this.endOffset) {
				result.completeExceptionally(new StoreException(Reason.DROPPED, "gone"));
			}
			else {
				result.complete(Batch.fromStore(List.copyOf(this.records.tailMap(from).values()), this.endOffset,
						this.timeline));
			}
		}

		@Override
		public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
			CompletableFuture<Page> result = new CompletableFuture<>();
			RelayedStreamPropertyTests.this.channel.eventLoop().execute(() -> completeListing(result));
			return result;
		}

		private void completeListing(CompletableFuture<Page> result) {
			if (this.down) {
				result.completeExceptionally(new StoreException(Reason.UNAVAILABLE, "down"));
				return;
			}
			List<StoredRecord> page = this.newest.values().stream().map(this.records::get).toList();
			result.complete(new Page(page, false, this.endOffset, this.timeline));
		}

	}

	private record WaitingRead(long from, CompletableFuture<RecordStore.Batch> result) {
	}

}
