package io.flamingogap.gateway.cloud;

import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

import io.flamingogap.core.duty.UsageCounts;
import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport.ServiceDemand;
import io.flamingogap.gateway.relay.ServiceDemandTracker;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Figures over all nodes: what this node counts and what the others reported.
 */
public final class FleetTotals implements FleetServiceDemand {

	private final FleetView fleet;

	private final UsageCounts ownUsage;

	private final ServiceDemandTracker ownDemands;

	private final NodeClock clock;

	/**
	 * Create totals.
	 * @param fleet the reports of the other nodes
	 * @param ownUsage what this run of this node counts
	 * @param ownDemands what callers ask of this node
	 * @param clock tells the present time
	 */
	public FleetTotals(FleetView fleet, UsageCounts ownUsage, ServiceDemandTracker ownDemands, NodeClock clock) {
		this.fleet = fleet;
		this.ownUsage = ownUsage;
		this.ownDemands = ownDemands;
		this.clock = clock;
	}

	/**
	 * Add up the requests that servers began in a window.
	 * @param window the number of the window
	 * @return requests by account
	 */
	Map<String, Long> usageOf(long window) {
		return this.fleet.usageInWindow(window, this.ownUsage);
	}

	/**
	 * Return whether every other node was heard lately.
	 * @param millis how long ago at most
	 * @return {@code true} if no node's newest report is older
	 */
	boolean heardAllWithin(long millis) {
		return this.fleet.allReportedSince(this.clock.steadyMillis() - millis);
	}

	@Override
	public double promptTokensPerSecond(String service) {
		return sumOver(service, ServiceDemand::promptTokensPerSecond);
	}

	@Override
	public double openRequests(String service) {
		return sumOver(service, ServiceDemand::openRequests);
	}

	private double sumOver(String service, ToLongFunction<ServiceDemand> figure) {
		long own = sum(this.ownDemands.report(this.clock.steadyMillis()), service, figure);
		long others = this.fleet.recentReports()
			.stream()
			.mapToLong((report) -> sum(report.services(), service, figure))
			.sum();
		return (double) own + others;
	}

	private static long sum(List<ServiceDemand> rows, String service, ToLongFunction<ServiceDemand> figure) {
		return rows.stream().filter((row) -> row.service().equals(service)).mapToLong(figure).sum();
	}

}
