package io.flamingogap.gateway.cloud;

import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import java.util.function.LongPredicate;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.log.LogLine;

/**
 * The usage reports that are due. What a report says is kept in the store before it is
 * sent, so that the next holder repeats it word for word.
 */
final class UsageReportSchedule {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * A report that is heard this long after the end of a window holds all of it: 0.4 s
	 * to collect a zone's reports, a pause of 0.8 s between reads, and 1.5 s for a store
	 * that is slow.
	 */
	private static final long HEARD_AFTER_MILLIS = 2_700;

	/**
	 * How long a window waits for nodes that are not heard; the rest of the time until it
	 * is due is for the call and a change of the holder.
	 */
	private static final long MAX_SETTLE_MILLIS = 7_000;

	/** Windows that are reported late after a change of the holder. */
	private static final long MAX_LATE_WINDOWS = 3;

	private static final long NONE = Long.MIN_VALUE;

	private final long windowMillis;

	private final LongFunction<Map<String, Long>> counts;

	private final LongPredicate heardAllWithin;

	private long reportedWindow = NONE;

	private @Nullable Report intended;

	/**
	 * Create a duty without reports.
	 * @param windowMillis the length of a window
	 * @param counts the requests of a window by account, over all nodes
	 * @param heardAllWithin whether every other node was heard within a time in
	 * milliseconds
	 */
	UsageReportSchedule(long windowMillis, LongFunction<Map<String, Long>> counts, LongPredicate heardAllWithin) {
		this.windowMillis = windowMillis;
		this.counts = counts;
		this.heardAllWithin = heardAllWithin;
	}

	/**
	 * Take over from the holder before.
	 * @param last the report that it kept last, if any; it may not have been sent
	 * @param trueMillis the true time of day
	 */
	void takeOver(Optional<Report> last, long trueMillis) {
		this.intended = last.filter((report) -> !isTooLate(report.window(), trueMillis)).orElse(null);
		long newest = last.map(Report::window).orElse(NONE);
		this.reportedWindow = Math.max(this.reportedWindow, (this.intended != null) ? newest - 1 : newest);
	}

	private boolean isTooLate(long window, long trueMillis) {
		return window < lastSettled(trueMillis) - MAX_LATE_WINDOWS;
	}

	private long lastSettled(long trueMillis) {
		long ended = Math.floorDiv(trueMillis - HEARD_AFTER_MILLIS, this.windowMillis) - 1;
		long endedAtMillis = (ended + 1) * this.windowMillis;
		long sinceHeardMillis = trueMillis - endedAtMillis - HEARD_AFTER_MILLIS;
		boolean isSettled = this.heardAllWithin.test(sinceHeardMillis)
				|| trueMillis - endedAtMillis >= MAX_SETTLE_MILLIS;
		return isSettled ? ended : ended - 1;
	}

	/**
	 * Return the report that must be sent as it was kept.
	 * @return the report, if one is open
	 */
	Optional<Report> intended() {
		return Optional.ofNullable(this.intended);
	}

	/**
	 * Return the next report that is due and not kept yet.
	 * @param trueMillis the true time of day
	 * @return the report
	 */
	Optional<Report> nextDue(long trueMillis) {
		long settled = lastSettled(trueMillis);
		long next = Math.max(this.reportedWindow + 1, settled - MAX_LATE_WINDOWS);
		if (this.reportedWindow == NONE) {
			next = settled;
		}
		return (next <= settled) ? Optional.of(new Report(next, this.counts.apply(next))) : Optional.empty();
	}

	/**
	 * Record that a report was kept and has to be sent.
	 * @param report the report
	 */
	void recordKept(Report report) {
		this.intended = report;
	}

	/**
	 * Record that the cloud has accepted the open report.
	 */
	void recordSent() {
		Report sent = this.intended;
		if (sent != null) {
			this.reportedWindow = Math.max(this.reportedWindow, sent.window());
			this.intended = null;
			logger.atInfo()
				.log("%s",
						LogLine.of("usage reported")
							.with("window", sent.window())
							.with("requests", sent.requests().values().stream().mapToLong(Long::longValue).sum()));
		}
	}

	/**
	 * A usage report.
	 *
	 * @param window the number of the window
	 * @param requests requests by account
	 */
	record Report(long window, Map<String, Long> requests) {
	}

}
