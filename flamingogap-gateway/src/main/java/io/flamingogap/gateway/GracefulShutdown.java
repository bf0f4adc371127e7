package io.flamingogap.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.node.NodeReportExchange;
import io.flamingogap.gateway.relay.RequestRelay;
import io.flamingogap.gateway.time.LoggedTask;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Shuts a node down gracefully: directs callers to other nodes, waits until open requests
 * are finished, and publishes a last report.
 */
final class GracefulShutdown {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * How long new requests are still admitted after the shutdown started. Long enough
	 * that other nodes read the report that is published at its start, and that the
	 * directory responses that callers cached before expire.
	 */
	private static final long ADMISSION_MILLIS = 2_800;

	/**
	 * The minimum duration of a shutdown, unless the timeout is shorter. Callers that use
	 * a directory response for longer than its lifetime still reach this node: it refuses
	 * their requests and closes their connections, so they turn to other nodes.
	 */
	private static final long MIN_DURATION_MILLIS = 4_000;

	private static final long POLL_INTERVAL_MILLIS = 50;

	/**
	 * The fraction of the timeout in which new requests are admitted at most, so that
	 * they can be finished in the rest of it.
	 */
	private static final double MAX_ADMISSION_FRACTION = 0.5;

	private final EventLoop loop;

	private final NodeClock clock;

	private final RequestRelay relay;

	private final NodeReportExchange reportExchange;

	private final IntSupplier openRequests;

	private final long timeoutMillis;

	private long startedAtMillis;

	private boolean finished;

	/**
	 * Create a shutdown that hasn't started.
	 * @param loop the event loop that runs the shutdown
	 * @param clock the clocks of this process
	 * @param relay admits callers' requests
	 * @param reportExchange publishes this node's reports
	 * @param openRequests supplies the number of open requests
	 * @param timeoutMillis the time in milliseconds after which open requests are no
	 * longer waited for
	 */
	GracefulShutdown(EventLoop loop, NodeClock clock, RequestRelay relay, NodeReportExchange reportExchange,
			IntSupplier openRequests, long timeoutMillis) {
		this.loop = loop;
		this.clock = clock;
		this.relay = relay;
		this.reportExchange = reportExchange;
		this.openRequests = openRequests;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Start the shutdown.
	 * @param onStopped runs when the process may exit
	 */
	void start(Runnable onStopped) {
		this.startedAtMillis = this.clock.steadyMillis();
		logger.atInfo().log("%s", LogLine.of("stopping").with("openRequests", this.openRequests.getAsInt()));
		this.relay.startDraining(this.startedAtMillis + this.timeoutMillis);
		this.reportExchange.publish();
		this.loop.schedule(() -> this.relay.close(),
				Math.min(ADMISSION_MILLIS, (long) (this.timeoutMillis * MAX_ADMISSION_FRACTION)),
				TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(LoggedTask.of("shutdown", () -> stopIfDone(onStopped)), POLL_INTERVAL_MILLIS,
				POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void stopIfDone(Runnable onStopped) {
		long elapsedMillis = this.clock.steadyMillis() - this.startedAtMillis;
		boolean mayStop = this.openRequests.getAsInt() == 0 && elapsedMillis >= MIN_DURATION_MILLIS;
		if (this.finished || (!mayStop && elapsedMillis < this.timeoutMillis)) {
			return;
		}
		this.finished = true;
		int unfinished = this.openRequests.getAsInt();
		this.relay.endOpenRequests();
		logger.atInfo()
			.log("%s", LogLine.of("stopped").with("openRequests", unfinished).with("tookMillis", elapsedMillis));
		// The last report contains the requests that servers began to process since the
		// previous report.
		this.reportExchange.publish().whenComplete((offset, failure) -> onStopped.run());
	}

}
