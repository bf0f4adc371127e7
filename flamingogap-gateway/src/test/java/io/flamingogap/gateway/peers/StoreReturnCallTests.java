package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.gateway.http.HttpCallResponse;
import io.flamingogap.gateway.http.SimpleHttpServer;
import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.RecordFollower;
import io.flamingogap.gateway.store.RecordListener;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.store.UnnumberedReturns;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Counts the calls that a return of the store from an older copy costs a fleet whose
 * nodes read through the relays of their zones, and the time until all have noticed it.
 */
class StoreReturnCallTests {

	private static final long STEP_MILLIS = 10;

	private static final long STORE_LATENCY_MILLIS = 10;

	private static final long PEER_LATENCY_MILLIS = 10;

	private static final long REPORT_MILLIS = 1_500;

	/** The time within which the users expect a configuration to be applied. */
	private static final long APPLY_MILLIS = 2_500;

	/** The pause between two reads of a stream. */
	private static final long READ_PAUSE_MILLIS = 900;

	/**
	 * How many listings of a stream a zone may ask for if its nodes notice a return at
	 * any time within the pause between two reads.
	 */
	private static final int MAX_LISTINGS = (int) (READ_PAUSE_MILLIS / SharedListings.MAX_AGE_MILLIS) + 1;

	private static final int PEER_PORT = 7600;

	private static final List<StoreStream> STREAMS = List.of(StoreStream.OPERATOR, StoreStream.SERVERS,
			StoreStream.NODES);

	private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

	private final ReturningStore store = new ReturningStore();

	private final Map<Address, Node> nodes = new HashMap<>();

	private final Map<String, Integer> calls = new HashMap<>();

	private long nowMillis;

	private void createNodes(int zones, int nodesOfAZone) {
		for (int zone = 0; zone < zones; zone++) {
			for (int number = 0; number < nodesOfAZone; number++) {
				Node node = new Node("z" + zone, number, "10.0." + zone + "." + number);
				this.nodes.put(node.address, node);
			}
		}
		this.nodes.values().forEach(Node::hearOfTheOthers);
		this.nodes.values().forEach(Node::start);
	}

	private void advanceTime(long millis) {
		for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
			this.nowMillis += STEP_MILLIS;
			if (this.nowMillis % REPORT_MILLIS == 0) {
				this.nodes.values().forEach(Node::hearOfTheOthers);
			}
			this.channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
			this.channel.runPendingTasks();
			this.channel.runScheduledPendingTasks();
		}
	}

	private void after(long delayMillis, Runnable task) {
		this.channel.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
	}

	private int nodesThatNoticed(long returnedAtMillis) {
		return (int) this.nodes.values().stream().filter((node) -> node.hasListedSince(returnedAtMillis)).count();
	}

	private int callCount(String kind) {
		return this.calls.getOrDefault(kind, 0);
	}

	// Nodes of a zone listed and read the streams each for itself after a return.
	@ParameterizedTest
	@CsvSource({ "3, 3", "5, 19" })
	void callsAfterAReturnGrowWithTheZonesAndNotWithTheNodes(int zones, int nodesOfAZone) {
		createNodes(zones, nodesOfAZone);
		advanceTime(20_000);
		this.calls.clear();
		advanceTime(APPLY_MILLIS);
		int readsBefore = callCount("read");
		this.calls.clear();
		this.store.returnFromCopy();
		long returnedAtMillis = this.nowMillis;
		advanceTime(APPLY_MILLIS);
		assertThat(nodesThatNoticed(returnedAtMillis), is(this.nodes.size()));
		assertThat(callCount("list"), lessThanOrEqualTo(STREAMS.size() * zones * MAX_LISTINGS));
		assertThat(callCount("read"), lessThanOrEqualTo(readsBefore + STREAMS.size() * zones * MAX_LISTINGS));
	}

	@ParameterizedTest
	@CsvSource({ "3, 3, 500", "5, 19, 500", "3, 3, 2000", "5, 19, 2000" })
	void allNodesNoticeAReturnAfterAnOutage(int zones, int nodesOfAZone, long outageMillis) {
		createNodes(zones, nodesOfAZone);
		advanceTime(20_000);
		this.store.fail();
		advanceTime(outageMillis);
		this.store.returnFromCopy();
		long returnedAtMillis = this.nowMillis;
		advanceTime(APPLY_MILLIS);
		assertThat(nodesThatNoticed(returnedAtMillis), is(this.nodes.size()));
	}

	/** A node that follows three streams and reports. */
	private final class Node {

		private final String zone;

		private final String name;

		private final Address address;

		private final FleetView fleet;

		private final StoreAccess access;

		private final Map<StoreStream, Long> listedAtMillis = new EnumMap<>(StoreStream.class);

		private Node(String zone, int number, String host) {
			this.zone = zone;
			this.name = zone + "-" + (char) ('a' + number);
			this.address = new Address(host, PEER_PORT);
			this.fleet = new FleetView(new NodeId(this.name, 1), REPORT_MILLIS);
			ZoneRelaySelector selector = new ZoneRelaySelector(this.fleet, zone, this.name, Optional.of(PEER_PORT),
					() -> StoreReturnCallTests.this.nowMillis);
			this.access = new StoreAccess(StoreReturnCallTests.this.channel.eventLoop(), new NodesStore(), selector,
					() -> StoreReturnCallTests.this.nodes.keySet()
						.stream()
						.filter((other) -> !other.equals(this.address))
						.toList(),
					this::send, new Random(number), () -> StoreReturnCallTests.this.nowMillis);
		}

		private void hearOfTheOthers() {
			this.fleet.setCurrentTime(StoreReturnCallTests.this.nowMillis);
			StoreReturnCallTests.this.nodes.values()
				.stream()
				.filter((other) -> other.zone.equals(this.zone) && other != this)
				.forEach((other) -> this.fleet.record(
						new NodeReport(new NodeId(other.name, 1), StoreReturnCallTests.this.nowMillis, other.address,
								this.zone, true, 0, Map.of(), List.of(), List.of()),
						StoreReturnCallTests.this.nowMillis));
		}

		private void start() {
			follow(StoreStream.OPERATOR, 0);
			follow(StoreStream.SERVERS, READ_PAUSE_MILLIS);
			follow(StoreStream.NODES, READ_PAUSE_MILLIS - 100);
			report();
			join();
		}

		private void follow(StoreStream stream, long pauseMillis) {
			new RecordFollower(StoreReturnCallTests.this.channel.eventLoop(),
					new ReadsOfOneTimeline(this.access.store()), stream, pauseMillis, new RecordListener() {
						@Override
						public void onRecord(StoredRecord entry) {
						}

						@Override
						public void onStoreRestored() {
						}

						@Override
						public void onListed(Set<String> keys, long endOffset) {
							Node.this.listedAtMillis.put(stream, StoreReturnCallTests.this.nowMillis);
						}
					}, () -> StoreReturnCallTests.this.nowMillis, new UnnumberedReturns())
				.start();
		}

		private void report() {
			this.access.reports().submit(this.name, new byte[1]);
			StoreReturnCallTests.this.channel.eventLoop().schedule(this::report, REPORT_MILLIS, TimeUnit.MILLISECONDS);
		}

		private void join() {
			this.access.store().join(this.name, 0, 3_000);
			StoreReturnCallTests.this.channel.eventLoop().schedule(this::join, 1_000, TimeUnit.MILLISECONDS);
		}

		private boolean hasListedSince(long sinceMillis) {
			return this.listedAtMillis.values().stream().allMatch((atMillis) -> atMillis >= sinceMillis);
		}

		private CompletableFuture<HttpCallResponse> send(Address peer, byte[] call, long timeoutMillis) {
			CompletableFuture<HttpCallResponse> result = new CompletableFuture<>();
			after(PEER_LATENCY_MILLIS, () -> StoreReturnCallTests.this.nodes.get(peer).access.peerService()
				.answer(new SimpleHttpServer.Request("POST", "/store", call))
				.thenAccept((response) -> after(PEER_LATENCY_MILLIS, () -> result
					.complete(new HttpCallResponse(response.status(), new DefaultHttpHeaders(), response.body())))));
			after(timeoutMillis, () -> result.completeExceptionally(new StoreException(Reason.UNKNOWN, "timeout")));
			return result;
		}

	}

	/** Fails a read that continues a listing of another timeline. */
	private static final class ReadsOfOneTimeline extends ForwardingStore {

		private long listedTimeline;

		private ReadsOfOneTimeline(RecordStore store) {
			super(store);
		}

		@Override
		public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
			return super.listNewest(stream, after).thenApply((page) -> {
				this.listedTimeline = page.timeline();
				return page;
			});
		}

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			return super.read(stream, from, waitMillis).thenApply((batch) -> {
				if (batch.timeline() != this.listedTimeline) {
					throw new StoreException(Reason.DROPPED, "timeline " + batch.timeline());
				}
				return batch;
			});
		}

	}

	/** One node's client of the store, which learns its timeline from the answers. */
	private final class NodesStore implements RecordStore {

		private long timeline;

		private <T> CompletableFuture<T> call(String kind, CompletableFuture<T> answer) {
			StoreReturnCallTests.this.calls.merge(kind, 1, Integer::sum);
			CompletableFuture<T> result = new CompletableFuture<>();
			answer.whenComplete((value, failure) -> after(STORE_LATENCY_MILLIS, () -> {
				if (failure != null) {
					if (StoreException.of(failure).reason() == Reason.DROPPED) {
						this.timeline = StoreReturnCallTests.this.store.timeline;
					}
					result.completeExceptionally(failure);
				}
				else {
					this.timeline = StoreReturnCallTests.this.store.timeline;
					result.complete(value);
				}
			}));
			return result;
		}

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			return call("read", StoreReturnCallTests.this.store.read(stream, from, waitMillis));
		}

		@Override
		public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
			return call("list", StoreReturnCallTests.this.store.reply(() -> new Page(List.of(), false,
					StoreReturnCallTests.this.store.end(stream), StoreReturnCallTests.this.store.timeline)));
		}

		@Override
		public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
				OptionalLong expectedOffset) {
			return call("append", StoreReturnCallTests.this.store.append(stream, 1));
		}

		@Override
		public CompletableFuture<Long> appendAll(StoreStream stream, List<NewRecord> records) {
			return call("append", StoreReturnCallTests.this.store.append(stream, records.size()));
		}

		@Override
		public CompletableFuture<GroupView> join(String member, long generation, long ttlMillis) {
			return call("join", StoreReturnCallTests.this.store.reply(() -> new GroupView(1, false)));
		}

		@Override
		public CompletableFuture<Void> leave(String member) {
			return call("leave", StoreReturnCallTests.this.store.reply(() -> null));
		}

		@Override
		public long timeline() {
			return this.timeline;
		}

	}

	/** The store behind the clients. */
	private final class ReturningStore {

		private static final long LOST_RECORDS = 10;

		private final Map<StoreStream, Long> ends = new EnumMap<>(StoreStream.class);

		private final List<OpenRead> openReads = new ArrayList<>();

		private long timeline = 1;

		private boolean down;

		private long end(StoreStream stream) {
			return this.ends.getOrDefault(stream, 100L);
		}

		private void fail() {
			this.down = true;
			List<OpenRead> failed = List.copyOf(this.openReads);
			this.openReads.clear();
			failed.forEach(
					(read) -> read.result.completeExceptionally(new StoreException(Reason.UNKNOWN, "connection cut")));
		}

		/** Lose the newest records; what waits is answered as soon as it can be. */
		private void returnFromCopy() {
			this.down = false;
			this.timeline++;
			STREAMS.forEach((stream) -> this.ends.put(stream, end(stream) - LOST_RECORDS));
		}

		private <T> CompletableFuture<T> reply(Supplier<T> answer) {
			return this.down ? CompletableFuture.failedFuture(new StoreException(Reason.UNAVAILABLE, "down"))
					: CompletableFuture.completedFuture(answer.get());
		}

		private CompletableFuture<RecordStore.Batch> read(StoreStream stream, long from, long waitMillis) {
			if (this.down) {
				return CompletableFuture.failedFuture(new StoreException(Reason.UNAVAILABLE, "down"));
			}
			OpenRead read = new OpenRead(stream, from, new CompletableFuture<>());
			if (from != end(stream) || waitMillis == 0) {
				complete(read);
				return read.result;
			}
			this.openReads.add(read);
			after(waitMillis, () -> {
				if (this.openReads.remove(read)) {
					complete(read);
				}
			});
			return read.result;
		}

		private void complete(OpenRead read) {
			if (read.from > end(read.stream)) {
				read.result.completeExceptionally(new StoreException(Reason.DROPPED, "beyond the end"));
				return;
			}
			List<StoredRecord> records = new ArrayList<>();
			for (long offset = read.from; offset < end(read.stream); offset++) {
				records.add(new StoredRecord("key", Optional.of(new byte[1]), offset));
			}
			read.result.complete(RecordStore.Batch.fromStore(records, end(read.stream), this.timeline));
		}

		private CompletableFuture<Long> append(StoreStream stream, int count) {
			return reply(() -> {
				long offset = end(stream);
				this.ends.put(stream, offset + count);
				List<OpenRead> ready = this.openReads.stream()
					.filter((read) -> read.stream == stream && read.from < end(stream))
					.toList();
				this.openReads.removeAll(ready);
				ready.forEach(this::complete);
				return offset;
			});
		}

	}

	private record OpenRead(StoreStream stream, long from, CompletableFuture<RecordStore.Batch> result) {
	}

}
