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
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.time.NodeClock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link NodeReportExchange} at the start of a node, when all nodes may have
 * been lost.
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

	private final NodeReportExchange exchange = new NodeReportExchange(this.channel.eventLoop(), this.store,
			(key, value) -> {
				NodeReport report = ReportCodec.decodeNodeReport(value).get();
				this.submitted.add(report.serving());
				this.store.write(report);
				return CompletableFuture.completedFuture(0L);
			}, this.fleet, new FleetClock(), clock(), () -> report("self", RUN, 1, TIME_OF_DAY_MILLIS + this.nowMillis),
			() -> this.serving, this.previousReports::add, () -> {
			}, (entry) -> false);

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

	/**
	 * A store that answers the listing when the test says so.
	 */
	private static final class ListedLater extends ForwardingStore {

		private final Map<String, StoredRecord> newest = new TreeMap<>();

		private final CompletableFuture<Page> listing = new CompletableFuture<>();

		private long end;

		private ListedLater() {
			super(new ScriptedStore());
		}

		private void write(NodeReport report) {
			this.newest.put(report.node().name(), new StoredRecord(report.node().name(),
					Optional.of(ReportCodec.encodeNodeReport(report)), this.end++));
		}

		private void list() {
			this.listing.complete(new Page(List.copyOf(this.newest.values()), false, this.end, 0));
		}

		@Override
		public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
			return this.listing;
		}

	}

}
