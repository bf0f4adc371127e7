package io.flamingogap.gateway.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.fleet.FleetClock;
import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.gateway.peers.ChannelWithFrozenTime;
import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.ScriptedStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.store.UnnumberedReturns;
import io.flamingogap.gateway.time.NodeClock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link NodeReportExchange} at the start of a node, when all nodes may have
 * been lost, and after a return of the store from an earlier copy.
 */
class NodeReportExchangeTests {

	private static final Address ADDRESS = new Address("127.0.0.1", 80);

	private static final long TIME_OF_DAY_MILLIS = 1_000_000;

	private static final long RUN = 2;

	private static final long PREVIOUS_RUN = 1;

	private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

	private final ListedLater store = new ListedLater();

	private final FleetView fleet = new FleetView(new NodeId("self", RUN), 1_500);

	private final List<Long> previousReports = new ArrayList<>();

	private final List<Boolean> submitted = new ArrayList<>();

	private long nowMillis;

	private boolean serving = true;

	private int returnsTold;

	private final NodeReportExchange exchange = new NodeReportExchange(this.channel.eventLoop(), this.store,
			(key, value) -> {
				NodeReport report = ReportCodec.decodeNodeReport(value).get();
				this.submitted.add(report.serving());
				this.store.write(report);
				return CompletableFuture.completedFuture(0L);
			}, this.fleet, new FleetClock(), clock(), () -> report("self", RUN, 1, TIME_OF_DAY_MILLIS + this.nowMillis),
			() -> this.serving, this.previousReports::add, () -> {
			}, (entry) -> false, () -> this.returnsTold++, new UnnumberedReturns());

	private NodeClock clock() {
		return new NodeClock(() -> TimeUnit.MILLISECONDS.toNanos(this.nowMillis),
				() -> TIME_OF_DAY_MILLIS + this.nowMillis);
	}

	private NodeReport report(String node, long run, long sequence, long timeOfDayMillis) {
		return new NodeReport(new NodeId(node, run), sequence, ADDRESS, "z", this.serving, timeOfDayMillis, Map.of(),
				List.of(), List.of());
	}

	private void runFor(long millis) {
		for (long end = this.nowMillis + millis; this.nowMillis < end; this.nowMillis += 10) {
			this.channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
			this.channel.runPendingTasks();
		}
	}

	// The report of a run took the place of the previous one before the node had read it,
	// and its shares of quotas waited 6 s.
	@Test
	void previousRunIsFoundHoweverLateTheReportsAreListed() {
		this.store.write(report("self", PREVIOUS_RUN, 40, TIME_OF_DAY_MILLIS - 3_000));
		this.exchange.start();
		runFor(2_000);
		this.store.list();
		runFor(10);
		assertThat(this.previousReports, contains(40L));
	}

	@Test
	void firstReportSaysThatTheNodeServes() {
		this.serving = false;
		this.exchange.start();
		this.store.list();
		runFor(700);
		this.serving = true;
		this.exchange.publishFirstReportIfReady();
		runFor(100);
		this.exchange.publishFirstReportIfReady();
		assertThat(this.submitted, contains(true));
	}

	@Test
	void nodeThatDoesNotComeToServeReportsLater() {
		this.serving = false;
		this.exchange.start();
		runFor(3_100);
		assertThat(this.submitted, contains(false));
	}

	// After the loss of all nodes, the first to start removed the others, which were
	// starting too, and other nodes became holders of quotas.
	@Test
	void nodesThatStartLaterAreNotRemovedAtOnce() {
		this.store.write(report("other", PREVIOUS_RUN, 40, TIME_OF_DAY_MILLIS - 5_000));
		this.exchange.start();
		this.store.list();
		runFor(7_000);
		assertThat(this.fleet.nodes(), is(2));
		runFor(4_000);
		assertThat(this.fleet.nodes(), is(1));
	}

	private void readOthersReport(long sequence) {
		this.store.write(report("other", PREVIOUS_RUN, sequence, TIME_OF_DAY_MILLIS + this.nowMillis));
		this.store.answerRead();
		runFor(1_000);
	}

	// A report that was read again from a copy counted as just received, and callers were
	// directed to a node that had ended.
	@Test
	void reportOfACopyIsAsOldAsItSays() {
		this.exchange.start();
		this.store.list();
		runFor(2_000);
		readOthersReport(7);
		runFor(3_000);
		this.store.returnFromCopy(0);
		runFor(2_000);
		assertThat(this.fleet.recentReports().size(), is(0));
	}

	@Test
	void olderReportOfACopyDoesNotUndoANewerOne() {
		this.exchange.start();
		this.store.list();
		runFor(2_000);
		readOthersReport(7);
		readOthersReport(8);
		this.store.returnFromCopy(1);
		runFor(100);
		assertThat(this.fleet.knownReports().get(0).sequence(), is(8L));
	}

	// A node that had restarted got no callers for 8 s, because the copy's report of its
	// previous run, which this node hadn't read, took the place of the newer one.
	@Test
	void reportOfAnEarlierRunInACopyDoesNotReplaceTheCurrentRun() {
		this.store.write(report("other", PREVIOUS_RUN, 40, TIME_OF_DAY_MILLIS - 60_000));
		this.store.write(report("other", RUN, 1, TIME_OF_DAY_MILLIS));
		this.store.forgetBefore(1);
		this.exchange.start();
		this.store.list();
		runFor(2_000);
		this.store.returnFromCopy(this.store.log.size() - 1);
		runFor(1_000);
		this.store.write(report("other", RUN, 2, TIME_OF_DAY_MILLIS + this.nowMillis));
		this.store.answerRead();
		runFor(100);
		assertThat(this.fleet.recentReports().stream().map(NodeReport::sequence).toList(), contains(2L));
	}

	// A node that had just restarted was unknown for 8 s to one that started after it and
	// read the reports of both runs.
	@Test
	void replayedReportOfAnEarlierRunDoesNotReplaceTheCurrentRun() {
		this.store.write(report("other", PREVIOUS_RUN, 40, TIME_OF_DAY_MILLIS - 3_000));
		this.store.write(report("other", RUN, 1, TIME_OF_DAY_MILLIS));
		this.exchange.start();
		this.store.list();
		runFor(100);
		this.store.answerRead();
		runFor(1_000);
		this.store.write(report("other", RUN, 2, TIME_OF_DAY_MILLIS + this.nowMillis));
		this.store.answerRead();
		runFor(100);
		assertThat(this.fleet.recentReports().stream().map(NodeReport::sequence).toList(), contains(2L));
	}

	// Otherwise reports of a restarted node are skipped though the store has not
	// returned.
	@Test
	void restartedNodeTakesThePlaceOfItsPreviousRun() {
		this.exchange.start();
		this.store.list();
		runFor(2_000);
		readOthersReport(7);
		this.store.write(report("other", RUN, 1, TIME_OF_DAY_MILLIS + this.nowMillis));
		this.store.answerRead();
		runFor(100);
		assertThat(this.fleet.knownReports().get(0).sequence(), is(1L));
	}

	// Otherwise a node that is known only from the copy is skipped like an earlier run.
	@Test
	void nodeThatOnlyTheCopyShowsIsKnown() {
		this.exchange.start();
		this.store.list();
		runFor(2_000);
		this.store.write(report("other", PREVIOUS_RUN, 7, TIME_OF_DAY_MILLIS + this.nowMillis));
		this.store.returnFromCopy(0);
		runFor(100);
		assertThat(this.fleet.nodes(), is(2));
	}

	// Otherwise a newer report of the known run is skipped like one of another run.
	@Test
	void newerReportOfTheKnownRunInACopyCounts() {
		this.exchange.start();
		this.store.list();
		runFor(2_000);
		readOthersReport(7);
		this.store.write(report("other", PREVIOUS_RUN, 8, TIME_OF_DAY_MILLIS + this.nowMillis));
		this.store.returnFromCopy(0);
		runFor(100);
		assertThat(this.fleet.knownReports().get(0).sequence(), is(8L));
	}

	// Live nodes whose reports the store had lost were removed from the fleet.
	@Test
	void nodesThatTheCopyLacksAreNotRemovedAtOnce() {
		this.exchange.start();
		this.store.list();
		runFor(8_000);
		readOthersReport(7);
		runFor(6_000);
		this.store.returnFromCopy(1);
		runFor(7_000);
		assertThat(this.fleet.nodes(), is(2));
		readOthersReport(8);
		runFor(4_000);
		assertThat(this.fleet.nodes(), is(2));
	}

	@Test
	void returnIsTold() {
		this.exchange.start();
		this.store.list();
		runFor(100);
		this.store.returnFromCopy(0);
		runFor(100);
		assertThat(this.returnsTold, is(1));
	}

	/**
	 * A store that answers the listing when the test says so.
	 */
	private static final class ListedLater extends ForwardingStore {

		private final List<StoredRecord> log = new ArrayList<>();

		private CompletableFuture<Page> listing = new CompletableFuture<>();

		private CompletableFuture<Batch> pendingRead = new CompletableFuture<>();

		private long readFrom;

		private long firstRetained;

		private long timeline = 1;

		private ListedLater() {
			super(new ScriptedStore());
		}

		private void write(NodeReport report) {
			this.log.add(new StoredRecord(report.node().name(), Optional.of(ReportCodec.encodeNodeReport(report)),
					this.log.size()));
		}

		private void list() {
			Map<String, StoredRecord> newest = new TreeMap<>();
			this.log.forEach((entry) -> newest.put(entry.key(), entry));
			this.listing.complete(new Page(List.copyOf(newest.values()), false, this.log.size(), this.timeline));
		}

		private void forgetBefore(long offset) {
			this.firstRetained = offset;
		}

		private void answerRead() {
			this.pendingRead
				.complete(Batch.fromStore(List.copyOf(this.log.subList((int) this.readFrom, this.log.size())),
						this.log.size(), this.timeline));
		}

		private void returnFromCopy(int lostRecords) {
			this.timeline++;
			this.log.subList(this.log.size() - lostRecords, this.log.size()).clear();
			this.listing = new CompletableFuture<>();
			list();
			this.pendingRead.complete(Batch.fromStore(List.of(), this.readFrom, this.timeline));
		}

		@Override
		public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
			if (from < this.firstRetained) {
				return CompletableFuture.failedFuture(new StoreException(Reason.DROPPED, "expired"));
			}
			this.readFrom = from;
			this.pendingRead = new CompletableFuture<>();
			return this.pendingRead;
		}

		@Override
		public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
			return this.listing;
		}

	}

}
