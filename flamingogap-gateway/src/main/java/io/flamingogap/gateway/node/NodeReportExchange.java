package io.flamingogap.gateway.node;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
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
import io.flamingogap.gateway.store.UnnumberedReturns;
import io.flamingogap.gateway.time.LoggedTask;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Exchanges reports with the other entry nodes through the store: publishes the reports
 * of this node and reads those of the others.
 */
public final class NodeReportExchange implements RecordListener {

	/**
	 * The time between two reports. A change of demand affects the number of servers that
	 * are ordered up to this time later; reading the reports adds to it.
	 */
	public static final long REPORT_INTERVAL_MILLIS = 1_500;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The pause between reads, so that one read returns the reports of several nodes. */
	private static final long READ_PAUSE_MILLIS = 800;

	/**
	 * The number of earlier reports that a node reads when it starts. The usage that was
	 * counted by runs of nodes that have ended is found in these reports only. Covers
	 * about 15 seconds of reports from 10 nodes.
	 */
	private static final long REPLAYED_REPORTS = 100;

	/**
	 * A node that hasn't reported for longer than this is removed from the view of the
	 * fleet: either it no longer exists, or its next run will report.
	 */
	private static final long REMOVAL_TIMEOUT_MILLIS = 8_000;

	/**
	 * Silent nodes are removed only if this node has read their reports, with no
	 * disruption of the store, for longer than this. Otherwise their reports may be
	 * missing because of the disruption, or because all nodes have just started.
	 */
	private static final long MIN_UNDISTURBED_MILLIS = 8_000;

	/**
	 * How long the first report waits until the node has read those of the others and
	 * serves callers. A report that is stored earlier hides that of the previous run from
	 * this node, and tells the others that the node doesn't serve.
	 */
	private static final long MAX_FIRST_REPORT_DELAY_MILLIS = 3_000;

	private final EventLoop loop;

	private final RecordStore store;

	private final ReportSink reportSink;

	private final FleetView fleet;

	private final FleetClock fleetClock;

	private final NodeClock clock;

	private final Supplier<NodeReport> ownReportSupplier;

	private final BooleanSupplier serving;

	private final LongConsumer previousRunListener;

	private final Runnable listedListener;

	private final Predicate<StoredRecord> otherRecords;

	private final Runnable restoredListener;

	private final RecordFollower follower;

	/**
	 * The end of the stream when it was last listed. Records before it were written
	 * before the listing, so their age is computed from the time of day that they report.
	 * Until the first listing is complete, and that after each return of the store from
	 * an earlier copy, all records count as written before it.
	 */
	private long listingEndOffset = Long.MAX_VALUE;

	private boolean listingCompleted;

	private long listedAtMillis;

	private long startedAtMillis;

	private boolean reported;

	private long lastAcceptedReportMillis = Long.MIN_VALUE / 2;

	/**
	 * Create an exchange that isn't started.
	 * @param loop the event loop that all work runs on
	 * @param store the store to read from, and to append urgent reports to
	 * @param reportSink accepts the periodic reports, which may be delayed and batched
	 * @param fleet receives the reports of other nodes
	 * @param fleetClock receives the time of day that other nodes report
	 * @param clock the clocks of this process
	 * @param ownReportSupplier creates the current report of this node
	 * @param serving returns whether this node serves callers
	 * @param previousRunListener receives the number of reports that the previous run of
	 * this node wrote, if its last report is so recent that the other nodes still count
	 * it
	 * @param listedListener runs when the last reports of all nodes have been read for
	 * the first time
	 * @param otherRecords accepts the records of the stream that aren't reports, and
	 * returns {@code false} for those that are
	 * @param restoredListener runs when the store has returned from an earlier copy,
	 * before the records of the copy are read
	 * @param unnumberedReturns tells of returns of the store that another stream shows
	 */
	public NodeReportExchange(EventLoop loop, RecordStore store, ReportSink reportSink, FleetView fleet,
			FleetClock fleetClock, NodeClock clock, Supplier<NodeReport> ownReportSupplier, BooleanSupplier serving,
			LongConsumer previousRunListener, Runnable listedListener, Predicate<StoredRecord> otherRecords,
			Runnable restoredListener, UnnumberedReturns unnumberedReturns) {
		this.loop = loop;
		this.store = store;
		this.reportSink = reportSink;
		this.fleet = fleet;
		this.fleetClock = fleetClock;
		this.clock = clock;
		this.ownReportSupplier = ownReportSupplier;
		this.serving = serving;
		this.previousRunListener = previousRunListener;
		this.listedListener = listedListener;
		this.otherRecords = otherRecords;
		this.restoredListener = restoredListener;
		this.follower = new RecordFollower(loop, store, StoreStream.NODES, READ_PAUSE_MILLIS, this, clock::steadyMillis,
				unnumberedReturns)
			.replaying(REPLAYED_REPORTS);
	}

	/**
	 * Start publishing and reading reports.
	 */
	public void start() {
		this.startedAtMillis = this.clock.steadyMillis();
		this.follower.start();
		this.loop.scheduleWithFixedDelay(LoggedTask.of("node reports", this::publishReportAndRemoveSilentNodes), 0,
				REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void publishReportAndRemoveSilentNodes() {
		long nowMillis = this.clock.steadyMillis();
		this.fleet.setCurrentTime(nowMillis);
		long undisturbedSinceMillis = Math.max(this.listedAtMillis, this.follower.lastDisruptionAtMillis());
		if (this.listingCompleted && nowMillis - undisturbedSinceMillis > MIN_UNDISTURBED_MILLIS) {
			this.fleet.nodesSilentLongerThan(REMOVAL_TIMEOUT_MILLIS).forEach(this::removeNode);
		}
		if (this.reported || nowMillis - this.startedAtMillis >= MAX_FIRST_REPORT_DELAY_MILLIS) {
			submitReport();
		}
		else {
			publishFirstReportIfReady();
		}
	}

	/**
	 * Publish the first report as soon as the node has read those of the others and
	 * serves callers. To be called when either may have changed; does nothing later.
	 */
	public void publishFirstReportIfReady() {
		if (!this.reported && this.listingCompleted && this.serving.getAsBoolean()) {
			submitReport();
		}
	}

	private void submitReport() {
		this.reported = true;
		long nowMillis = this.clock.steadyMillis();
		NodeReport report = this.ownReportSupplier.get();
		this.reportSink.submit(report.node().name(), ReportCodec.encodeNodeReport(report)).thenApply((offset) -> {
			if (report.serving()) {
				this.lastAcceptedReportMillis = Math.max(this.lastAcceptedReportMillis, nowMillis);
			}
			return offset;
		}).exceptionally(NodeReportExchange::logFailureAndReturnNoOffset);
	}

	private void removeNode(String node) {
		this.fleet.forget(node);
		this.fleetClock.forget(node);
		logger.atInfo()
			.log("%s", LogLine.of("node removed").with("peer", node).with("silentMillis", REMOVAL_TIMEOUT_MILLIS));
	}

	/**
	 * Append the current report of this node to the store at once.
	 * @return completes with the offset of the report, or with -1 if the store failed;
	 * never exceptionally
	 */
	public CompletableFuture<Long> publish() {
		NodeReport report = this.ownReportSupplier.get();
		return this.store
			.append(StoreStream.NODES, report.node().name(), Optional.of(ReportCodec.encodeNodeReport(report)),
					OptionalLong.empty())
			.exceptionally(NodeReportExchange::logFailureAndReturnNoOffset);
	}

	private static Long logFailureAndReturnNoOffset(Throwable failure) {
		logger.atInfo()
			.log("%s", LogLine.of("report not kept").with("reason", StoreException.of(failure).getMessage()));
		return -1L;
	}

	/**
	 * Return when this node submitted the newest of its periodic reports that the store
	 * has accepted and that says that the node accepts requests.
	 * @return the time in milliseconds of the monotonic clock; far in the past if there
	 * is none
	 */
	public long lastAcceptedReportMillis() {
		return this.lastAcceptedReportMillis;
	}

	/**
	 * Return when the store last confirmed the reports, directly or through another node.
	 * @return the time in milliseconds of the monotonic clock; 0 before the first read
	 */
	public long lastContactAtMillis() {
		return this.follower.lastContactAtMillis();
	}

	/**
	 * Return up to which offset reports have been read.
	 * @return the offset that is read next
	 */
	public long nextOffset() {
		return this.follower.nextOffset();
	}

	/**
	 * Return whether the last reports of all nodes were read at least once.
	 * @return {@code true} once the first listing of the store is complete
	 */
	public boolean hasCompletedListing() {
		return this.listingCompleted;
	}

	@Override
	public void onRecord(StoredRecord entry) {
		if (this.otherRecords.test(entry)) {
			return;
		}
		if (entry.value().isEmpty()) {
			removeNode(entry.key());
			return;
		}
		Either<String, NodeReport> report = ReportCodec.decodeNodeReport(entry.value().get());
		if (report.isLeft()) {
			logger.atWarning()
				.log("%s",
						LogLine.of("report unreadable")
							.with("peer", entry.key())
							.with("reason", "record at offset " + entry.offset() + ": " + report.getLeft()));
			return;
		}
		boolean isOfCopy = this.listingCompleted && this.listingEndOffset == Long.MAX_VALUE;
		if (isOfCopy && this.fleet.isOfOtherRun(report.get())) {
			// The copy doesn't tell which run is the later one; that one reports again.
			return;
		}
		boolean isReplayed = this.listingCompleted && !isOfCopy && entry.offset() < this.listingEndOffset;
		if (isReplayed && this.fleet.isOfOtherRun(report.get())) {
			// The listing has shown the newest report of each node.
			this.fleet.recordUsage(report.get());
			return;
		}
		long nowMillis = this.clock.steadyMillis();
		boolean isAfterListing = entry.offset() >= this.listingEndOffset;
		long ageMillis = isAfterListing ? 0
				: Math.max(0, this.clock.timeOfDayMillis() - report.get().timeOfDayMillis());
		this.fleet.setCurrentTime(nowMillis);
		if (isAfterListing) {
			this.fleet.recordReceived(report.get(), nowMillis);
		}
		else {
			this.fleet.record(report.get(), nowMillis - ageMillis);
		}
		if (!this.listingCompleted && ageMillis < REMOVAL_TIMEOUT_MILLIS && this.fleet.isOfPreviousRun(report.get())) {
			this.previousRunListener.accept(report.get().sequence());
		}
		if (isAfterListing) {
			this.fleetClock.record(entry.key(), report.get().timeOfDayMillis(), nowMillis);
		}
	}

	@Override
	public void onListed(Set<String> keys, long endOffset) {
		this.listingEndOffset = endOffset;
		logger.atInfo().log("%s", LogLine.of("nodes listed").with("nodes", keys.size()).with("offset", endOffset));
		if (!this.listingCompleted) {
			this.listingCompleted = true;
			this.listedAtMillis = this.clock.steadyMillis();
			this.listedListener.run();
			publishFirstReportIfReady();
		}
	}

	@Override
	public void onStoreRestored() {
		this.listingEndOffset = Long.MAX_VALUE;
		this.restoredListener.run();
	}

}
