package io.flamingogap.gateway.node;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.servers.ColdStartLimiter;
import io.flamingogap.core.servers.ColdStartView;
import io.flamingogap.core.serving.ConfigHolder;
import io.flamingogap.gateway.time.LoggedTask;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Tells the limiter of requests to cold servers which nodes there are, while a service of
 * the configuration has servers that can be cold.
 */
public final class ColdStartMembers {

	private static final long UPDATE_INTERVAL_MILLIS = 250;

	private final EventLoop loop;

	private final ColdStartLimiter limiter;

	private final FleetView fleet;

	private final NodeReportExchange reports;

	private final ConfigHolder config;

	private final BooleanSupplier serving;

	private final NodeClock clock;

	/**
	 * Create the task without starting it.
	 * @param loop the event loop
	 * @param limiter the limiter to update
	 * @param fleet the known nodes
	 * @param reports the exchange that the known nodes come from
	 * @param config holds the current configuration
	 * @param serving whether this node accepts requests
	 * @param clock the clocks of this process
	 */
	public ColdStartMembers(EventLoop loop, ColdStartLimiter limiter, FleetView fleet, NodeReportExchange reports,
			ConfigHolder config, BooleanSupplier serving, NodeClock clock) {
		this.loop = loop;
		this.limiter = limiter;
		this.fleet = fleet;
		this.reports = reports;
		this.config = config;
		this.serving = serving;
		this.clock = clock;
	}

	/**
	 * Start updating the limiter.
	 */
	public void start() {
		this.loop.scheduleWithFixedDelay(LoggedTask.of("cold start members", this::update), UPDATE_INTERVAL_MILLIS,
				UPDATE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void update() {
		if (!this.config.current().map((current) -> current.hasColdStarts()).orElse(false)) {
			return;
		}
		Map<String, String> zonesByMember = new HashMap<>();
		for (NodeReport report : this.fleet.knownReports()) {
			if (report.serving()) {
				zonesByMember.put(report.node().name(), report.zone());
			}
		}
		this.limiter.update(
				new ColdStartView(zonesByMember,
						this.reports.hasCompletedListing() ? this.reports.lastContactAtMillis() : ColdStartView.NEVER,
						this.serving.getAsBoolean(), this.reports.lastAcceptedReportMillis()),
				this.clock.steadyMillis());
	}

}
