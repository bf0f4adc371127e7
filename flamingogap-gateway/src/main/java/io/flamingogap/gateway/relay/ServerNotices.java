package io.flamingogap.gateway.relay;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.servers.KnownServer;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.backends.BackendResponseHead;
import io.flamingogap.gateway.log.LogLine;

/**
 * Records what a server says of itself in an answer: that it leaves, that it wants a
 * pause, its load, and how slow its machine is.
 */
final class ServerNotices {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final RelayDependencies dependencies;

	private final KnownServer server;

	ServerNotices(RelayDependencies dependencies, KnownServer server) {
		this.dependencies = dependencies;
		this.server = server;
	}

	/**
	 * Record the notices in an answer. Not to be called if another server answered.
	 * @param head the head of the answer
	 * @param request the request that was answered, for the log
	 * @param nowMillis the current time on the monotonic clock, in milliseconds
	 */
	void recordFrom(BackendResponseHead head, RelayedRequest request, long nowMillis) {
		if (head.leaving()) {
			recordDeparture(request);
		}
		head.pauseMillis().ifPresent((pauseMillis) -> recordPause(pauseMillis, request, nowMillis));
		double slotMillis = this.dependencies.servers().paceOf(this.server.registration().service()).slotTime().millis()
				* this.server.slowness().factor(nowMillis);
		head.load().ifPresent((load) -> recordLoad(load, slotMillis, nowMillis));
		if (head.load().isEmpty() && head.verdict() == BackendResponseHead.Verdict.REJECTED) {
			this.server.load().recordFull(this.server.slots(), slotMillis, nowMillis);
		}
	}

	private void recordLoad(BackendResponseHead.ReportedLoad load, double slotMillis, long nowMillis) {
		this.server.load().recordReport(load.runningRequests(), load.queuedRequests(), slotMillis, nowMillis);
		load.slots().ifPresent(this.server::recordReportedSlots);
		load.slowness().ifPresent((factor) -> this.server.slowness().recordReport(factor, nowMillis));
	}

	private void recordDeparture(RelayedRequest request) {
		ServerRegistration run = this.server.registration();
		if (this.dependencies.servers().depart(run.id(), run.startedAtMillis())) {
			this.dependencies.departureListener().accept(run);
			this.dependencies.metrics().increment("departed.answer");
			logger.atInfo()
				.log("%s",
						request.logLine("server departed")
							.with("source", "answer")
							.with("startedAtMillis", run.startedAtMillis()));
		}
	}

	private void recordPause(long pauseMillis, RelayedRequest request, long nowMillis) {
		if (this.dependencies.servers().pause(this.server.registration(), pauseMillis, nowMillis)) {
			this.dependencies.metrics().increment("paused.answer");
			LogLine line = request.logLine("server paused");
			logger.atInfo()
				.log("%s",
						line.with("source", "answer")
							.with("startedAtMillis", this.server.registration().startedAtMillis())
							.with("pauseMillis", pauseMillis));
		}
	}

}
