package io.flamingogap.gateway.node;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;

import io.flamingogap.core.fleet.FleetClock;
import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.peers.ReportSink;
import io.flamingogap.gateway.store.RecordFollower;
import io.flamingogap.gateway.store.RecordListener;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.time.NodeClock;

/**
 * What nodes tell each other through the store: publishes this node's reports and reads
 * those of the others.
 */
public final class NodeReportExchange implements RecordListener {

	/** The time between reports; quotas and orders follow the demand this closely. */
	public static final long REPORT_INTERVAL_MILLIS = 1_500;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The pause between reads, so that reports of several nodes come in one answer. */
	private static final long READ_PAUSE_MILLIS = 800;

	/**
	 * Earlier reports that a node reads when it starts: usage of runs that have ended
	 * stands there only. About fifteen seconds of ten nodes.
	 */
	private static final long REPLAYED_REPORTS = 100;

	/**
	 * A node that reported nothing for so long was removed, or its successor will report.
	 */
	private static final long REMOVED_MILLIS = 8_000;

	/** The store must have been undisturbed for so long before silence tells anything. */
	private static final long STEADY_MILLIS = 8_000;

	private final EventLoop loop;

	private final RecordStore store;

	private final ReportSink reports;

	private final FleetView fleet;

	private final FleetClock fleetClock;

	private final NodeClock clock;

	private final Supplier<NodeReport> ownReport;

	private final Consumer<NodeReport> previousRun;

	private final RecordFollower follower;

	/** Reports before this offset were written before this node first listed them. */
	private long listedEnd = Long.MAX_VALUE;

	private boolean listed;

	/**
	 * Create a board.
	 * @param loop the event loop
	 * @param store the store
	 * @param reports takes the reports that may wait a little
	 * @param fleet takes the reports of other nodes
	 * @param fleetClock takes the clocks of other nodes
	 * @param clock tells the present time
	 * @param ownReport makes this node's report
	 * @param previousRun takes the newest report of the run of this node before, if the
	 * other nodes still count it
	 */
	public NodeReportExchange(EventLoop loop, RecordStore store, ReportSink reports, FleetView fleet,
			FleetClock fleetClock, NodeClock clock, Supplier<NodeReport> ownReport, Consumer<NodeReport> previousRun) {
		this.loop = loop;
		this.store = store;
		this.reports = reports;
		this.fleet = fleet;
		this.fleetClock = fleetClock;
		this.clock = clock;
		this.ownReport = ownReport;
		this.previousRun = previousRun;
		this.follower = new RecordFollower(loop, store, StoreStream.NODES, READ_PAUSE_MILLIS, this, clock::steadyMillis)
			.replaying(REPLAYED_REPORTS);
	}

	/**
	 * Begin to report and to read.
	 */
	public void start() {
		this.follower.start();
		this.loop.scheduleWithFixedDelay(this::tick, 0, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void tick() {
		long nowMillis = this.clock.steadyMillis();
		this.fleet.setCurrentTime(nowMillis);
		if (nowMillis - this.follower.lastDisruptionAtMillis() > STEADY_MILLIS) {
			this.fleet.nodesSilentLongerThan(REMOVED_MILLIS).forEach(this::forget);
		}
		NodeReport report = this.ownReport.get();
		this.reports.submit(report.node().name(), ReportCodec.write(report))
			.exceptionally(NodeReportExchange::logNotKept);
	}

	private void forget(String node) {
		this.fleet.forget(node);
		this.fleetClock.forget(node);
		logger.atInfo().log("%s", LogLine.of("node removed").with("peer", node).with("silentMillis", REMOVED_MILLIS));
	}

	/**
	 * Publish this node's report now.
	 * @return completes when the store has answered, or failed to
	 */
	public CompletableFuture<Long> publish() {
		NodeReport report = this.ownReport.get();
		return this.store
			.append(StoreStream.NODES, report.node().name(), Optional.of(ReportCodec.write(report)),
					OptionalLong.empty())
			.exceptionally(NodeReportExchange::logNotKept);
	}

	private static Long logNotKept(Throwable failure) {
		logger.atInfo()
			.log("%s", LogLine.of("report not kept").with("reason", StoreException.of(failure).getMessage()));
		return -1L;
	}

	@Override
	public void onRecord(StoredRecord entry) {
		if (entry.value().isEmpty()) {
			forget(entry.key());
			return;
		}
		Either<String, NodeReport> report = ReportCodec.read(entry.value().get());
		if (report.isLeft()) {
			logger.atWarning()
				.log("%s", LogLine.of("report unreadable").with("peer", entry.key()).with("reason", report.getLeft()));
			return;
		}
		long nowMillis = this.clock.steadyMillis();
		boolean isNew = entry.offset() >= this.listedEnd;
		long ageMillis = isNew ? 0 : Math.max(0, this.clock.timeOfDayMillis() - report.get().timeOfDayMillis());
		this.fleet.setCurrentTime(nowMillis);
		this.fleet.record(report.get(), nowMillis - ageMillis);
		if (!this.listed && ageMillis < REMOVED_MILLIS && this.fleet.isOfPreviousRun(report.get())) {
			this.previousRun.accept(report.get());
		}
		if (isNew) {
			this.fleetClock.record(entry.key(), report.get().timeOfDayMillis(), nowMillis);
		}
	}

	@Override
	public void onListed(Set<String> keys, long end) {
		this.listedEnd = end;
		this.listed = true;
		logger.atInfo().log("%s", LogLine.of("nodes listed").with("nodes", keys.size()).with("offset", end));
	}

}
