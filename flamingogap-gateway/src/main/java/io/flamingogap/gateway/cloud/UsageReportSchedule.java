package io.flamingogap.gateway.cloud;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongFunction;
import java.util.function.LongPredicate;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.log.LogLine;

/**
 * Decides which usage report is due. A report is stored before it is sent, so that the
 * next holder of the duties can send exactly the same report again.
 * <p>
 * A window whose report may have been sent is never counted again. If the store may have
 * lost a report, the windows that ended until then are left out, except that a holder
 * repeats the report that it has stored itself. A store that doesn't number its timelines
 * can lose a report without notice; its records are then taken to be complete.
 */
final class UsageReportSchedule {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The maximum time from the creation of a node's report to its arrival at this node:
	 * 0.4 s to collect the reports of a zone, a pause of 0.8 s between reads, and 1.5 s
	 * for a slow store. A report that arrives later than this after the end of a window
	 * covers the whole window.
	 */
	private static final long MAX_NODE_REPORT_DELAY_MILLIS = 2_700;

	/**
	 * How long after the end of a window its report waits for nodes that don't report.
	 * The report is due 10 s after the end; the remaining time is for the call and for a
	 * change of the holder.
	 */
	private static final long MAX_WAIT_FOR_NODES_MILLIS = 7_000;

	/**
	 * How many windows before the last complete one are still reported after a change of
	 * the holder or an outage. Older windows are not reported any more.
	 */
	private static final long MAX_LATE_WINDOWS = 3;

	private static final long NO_WINDOW = Long.MIN_VALUE;

	private final long windowMillis;

	private final LongFunction<Map<String, Long>> requestsInWindow;

	private final LongPredicate allNodesReportedWithin;

	private long reportedWindow = NO_WINDOW;

	/** The newest window that a claim names as settled: reported, or left out. */
	private long settledWindow = NO_WINDOW;

	private @Nullable Report pendingReport;

	/**
	 * Create a schedule without reports.
	 * @param windowMillis the length of a window in milliseconds
	 * @param requestsInWindow returns the number of requests by account in a window, over
	 * all nodes
	 * @param allNodesReportedWithin whether every other node has reported within the
	 * given number of milliseconds
	 */
	UsageReportSchedule(long windowMillis, LongFunction<Map<String, Long>> requestsInWindow,
			LongPredicate allNodesReportedWithin) {
		this.windowMillis = windowMillis;
		this.requestsInWindow = requestsInWindow;
		this.allNodesReportedWithin = allNodesReportedWithin;
	}

	/**
	 * Decide how this node would continue the schedule of the previous holders. Changes
	 * nothing until {@link #takeOver}.
	 * @param history what the store shows of their reports
	 * @param heardSinceMillis the corrected time of day at which this node first heard
	 * from the store, in milliseconds since 1970 UTC
	 * @param timeOfDayMillis the corrected time of day in milliseconds since 1970 UTC
	 * @return the windows to leave out and the report to repeat
	 */
	TakeOver planTakeOver(UsageHistory history, long heardSinceMillis, long timeOfDayMillis) {
		if (this.windowMillis == 0) {
			return new TakeOver(NO_WINDOW, NO_WINDOW + 1, NO_WINDOW, Optional.empty());
		}
		// A claim names a later window if the clock of its node was ahead.
		long lastEndedWindow = lastEndedWindow(timeOfDayMillis);
		long namedWindow = Math.min(history.settledWindow().orElse(NO_WINDOW), lastEndedWindow);
		long storedWindow = history.lastReport().map(Report::window).orElse(NO_WINDOW);
		long knownWindow = Math.max(namedWindow,
				Math.max(Math.min(this.settledWindow, lastEndedWindow), this.reportedWindow));
		Optional<Report> own = Optional.ofNullable(this.pendingReport)
			.filter((report) -> report.window() > namedWindow && !isTooLate(report.window(), timeOfDayMillis))
			.filter((report) -> report.window() > storedWindow || history.lastReport().equals(Optional.of(report)));
		OptionalLong uncertainUntilMillis = history.certainty().uncertainUntilMillis(heardSinceMillis, timeOfDayMillis);
		if (uncertainUntilMillis.isPresent()) {
			long lastUncertainWindow = lastEndedWindow(uncertainUntilMillis.getAsLong());
			long newSettledWindow = Math.max(Math.max(knownWindow, storedWindow), lastUncertainWindow);
			long firstLeftOutWindow = (knownWindow != NO_WINDOW) ? knownWindow + 1 : lastUncertainWindow;
			return new TakeOver(newSettledWindow, firstLeftOutWindow, this.reportedWindow, own);
		}
		boolean hasTwoReports = this.pendingReport != null && this.pendingReport.window() == storedWindow
				&& !history.lastReport().equals(Optional.of(this.pendingReport));
		long newSettledWindow = hasTwoReports ? Math.max(knownWindow, storedWindow) : knownWindow;
		Optional<Report> pending = own.or(history::lastReport)
			.filter((report) -> report.window() > newSettledWindow && !isTooLate(report.window(), timeOfDayMillis));
		long newReportedWindow = Math.max(this.reportedWindow,
				pending.map((report) -> report.window() - 1).orElse(storedWindow));
		return new TakeOver(newSettledWindow, newSettledWindow + 1, newReportedWindow, pending);
	}

	/**
	 * Continue the schedule of the previous holders.
	 * @param plan the decision that the node's claim in the store names
	 */
	void takeOver(TakeOver plan) {
		this.settledWindow = plan.settledWindow;
		this.reportedWindow = plan.reportedWindow;
		this.pendingReport = plan.pendingReport.orElse(null);
		if (plan.firstLeftOutWindow <= plan.settledWindow) {
			logger.atInfo()
				.log("%s",
						LogLine.of("usage windows left out")
							.with("first", plan.firstLeftOutWindow)
							.with("last", plan.settledWindow)
							.with("repeatsOwnReport", plan.pendingReport.isPresent()));
		}
	}

	private boolean isTooLate(long window, long timeOfDayMillis) {
		return this.windowMillis == 0 || window < lastCompleteWindow(timeOfDayMillis) - MAX_LATE_WINDOWS;
	}

	private long lastEndedWindow(long timeOfDayMillis) {
		return Math.floorDiv(timeOfDayMillis, this.windowMillis) - 1;
	}

	private long lastCompleteWindow(long timeOfDayMillis) {
		long lastEnded = Math.floorDiv(timeOfDayMillis - MAX_NODE_REPORT_DELAY_MILLIS, this.windowMillis) - 1;
		long endedAtMillis = (lastEnded + 1) * this.windowMillis;
		long maxReportAgeMillis = timeOfDayMillis - endedAtMillis - MAX_NODE_REPORT_DELAY_MILLIS;
		boolean isComplete = this.allNodesReportedWithin.test(maxReportAgeMillis)
				|| timeOfDayMillis - endedAtMillis >= MAX_WAIT_FOR_NODES_MILLIS;
		return isComplete ? lastEnded : lastEnded - 1;
	}

	/**
	 * Return the stored report that must be sent unchanged.
	 * @return the report; empty if none is pending
	 */
	Optional<Report> pendingReport() {
		return Optional.ofNullable(this.pendingReport);
	}

	/**
	 * Return the next report that is due and isn't stored yet.
	 * @param timeOfDayMillis the corrected time of day in milliseconds since 1970 UTC
	 * @return the report; empty if none is due
	 */
	Optional<Report> nextReport(long timeOfDayMillis) {
		if (this.windowMillis == 0) {
			return Optional.empty();
		}
		// The clock was ahead when a window was settled that hasn't ended yet.
		this.settledWindow = Math.min(this.settledWindow, lastEndedWindow(timeOfDayMillis));
		long lastComplete = lastCompleteWindow(timeOfDayMillis);
		long last = Math.max(this.settledWindow, this.reportedWindow);
		long next = (last != NO_WINDOW) ? Math.max(last + 1, lastComplete - MAX_LATE_WINDOWS) : lastComplete;
		return (next <= lastComplete) ? Optional.of(new Report(next, this.requestsInWindow.apply(next)))
				: Optional.empty();
	}

	/**
	 * Record that a report was stored and must be sent.
	 * @param report the report
	 */
	void recordStored(Report report) {
		this.pendingReport = report;
	}

	/**
	 * Record that the cloud has accepted the pending report.
	 */
	void recordSent() {
		Report sent = this.pendingReport;
		if (sent != null) {
			this.reportedWindow = Math.max(this.reportedWindow, sent.window());
			this.pendingReport = null;
			logger.atInfo()
				.log("%s",
						LogLine.of("usage reported")
							.with("window", sent.window())
							.with("requests", sent.totalRequests()));
		}
	}

	/**
	 * How a node continues the schedule of the previous holders.
	 *
	 * @param settledWindow the newest window that no holder may count or report from now
	 * on, except for the pending report of this node
	 * @param firstLeftOutWindow the first window that is left out; after the settled one
	 * if none is
	 * @param reportedWindow the newest window that is known to be reported
	 * @param pendingReport the report that this node sends unchanged
	 */
	record TakeOver(long settledWindow, long firstLeftOutWindow, long reportedWindow, Optional<Report> pendingReport) {

		/**
		 * Return the window up to which all are reported or left out.
		 * @return the number of the window; empty if none is
		 */
		OptionalLong knownSettledWindow() {
			return (this.settledWindow != NO_WINDOW) ? OptionalLong.of(this.settledWindow) : OptionalLong.empty();
		}

	}

	/**
	 * The usage of one window.
	 *
	 * @param window the number of the window
	 * @param requests the number of requests by account
	 */
	record Report(long window, Map<String, Long> requests) {

		long totalRequests() {
			return this.requests.values().stream().mapToLong(Long::longValue).sum();
		}

	}

}
