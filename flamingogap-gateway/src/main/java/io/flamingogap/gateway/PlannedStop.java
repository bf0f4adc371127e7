package io.flamingogap.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.node.NodeReportExchange;
import io.flamingogap.gateway.relay.RequestRelay;
import io.flamingogap.gateway.time.NodeClock;

/**
 * A planned stop: callers are sent elsewhere, open requests are finished, and the last
 * counts are reported.
 */
final class PlannedStop {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * New requests are taken for so long after a stop began: answers of where to connect
	 * end.
	 */
	private static final long TAKE_MILLIS = 2_800;

	/**
	 * A stop takes at least so long, so that callers that kept an answer are told to go.
	 */
	private static final long MIN_STOP_MILLIS = 4_000;

	private static final long POLL_MILLIS = 50;

	private final EventLoop loop;

	private final NodeClock clock;

	private final RequestRelay relay;

	private final NodeReportExchange board;

	private final IntSupplier openRequests;

	private final long stopMillis;

	private long startedAtMillis;

	private boolean ended;

	/**
	 * Create a stop that has not begun.
	 * @param loop the event loop
	 * @param clock tells the present time
	 * @param relay takes callers' requests
	 * @param board reports to other nodes
	 * @param openRequests tells the open requests
	 * @param stopMillis how long the stop may take
	 */
	PlannedStop(EventLoop loop, NodeClock clock, RequestRelay relay, NodeReportExchange board, IntSupplier openRequests,
			long stopMillis) {
		this.loop = loop;
		this.clock = clock;
		this.relay = relay;
		this.board = board;
		this.openRequests = openRequests;
		this.stopMillis = stopMillis;
	}

	/**
	 * Begin.
	 * @param end runs when the process may end
	 */
	void start(Runnable end) {
		this.startedAtMillis = this.clock.steadyMillis();
		logger.atInfo().log("%s", LogLine.of("stopping").with("openRequests", this.openRequests.getAsInt()));
		this.relay.setAdmissionState(RequestRelay.AdmissionState.DRAINING);
		this.board.publish();
		this.loop.schedule(() -> this.relay.setAdmissionState(RequestRelay.AdmissionState.CLOSED), TAKE_MILLIS,
				TimeUnit.MILLISECONDS);
		this.loop.scheduleWithFixedDelay(() -> poll(end), POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void poll(Runnable end) {
		long passedMillis = this.clock.steadyMillis() - this.startedAtMillis;
		boolean idle = this.openRequests.getAsInt() == 0 && passedMillis >= MIN_STOP_MILLIS;
		if (this.ended || (!idle && passedMillis < this.stopMillis)) {
			return;
		}
		this.ended = true;
		logger.atInfo()
			.log("%s",
					LogLine.of("stopped")
						.with("openRequests", this.openRequests.getAsInt())
						.with("tookMillis", passedMillis));
		// The last report carries what servers began since the one before.
		this.board.publish().whenComplete((offset, failure) -> end.run());
	}

}
