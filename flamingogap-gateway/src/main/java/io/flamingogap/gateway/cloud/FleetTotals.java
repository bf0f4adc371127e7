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
 * Usage and demand over all entry nodes: what this node counts plus what the other nodes
 * report.
 */
public final class FleetTotals implements FleetServiceDemand {

	private final FleetView fleet;

	private final UsageCounts ownUsage;

	private final ServiceDemandTracker ownDemands;

	private final NodeClock clock;

	/**
	 * Create the totals.
	 * @param fleet the reports of the other nodes
	 * @param ownUsage the requests that this run of the node counted
	 * @param ownDemands the demand of this node's callers
	 * @param clock the clocks of this process
	 */
	public FleetTotals(FleetView fleet, UsageCounts ownUsage, ServiceDemandTracker ownDemands, NodeClock clock) {
		this.fleet = fleet;
		this.ownUsage = ownUsage;
		this.ownDemands = ownDemands;
		this.clock = clock;
	}

	/**
	 * Return the number of requests that backend servers began to process in a window.
	 * @param window the number of the window
	 * @return the number of requests by account
	 */
	Map<String, Long> usageInWindow(long window) {
		return this.fleet.usageInWindow(window, this.ownUsage);
	}

	/**
	 * Return whether every other node has reported recently.
	 * @param maxAgeMillis the maximum age of the newest report of each node, in
	 * milliseconds
	 * @return {@code false} if the newest report of a node is older
	 */
	boolean allNodesReportedWithin(long maxAgeMillis) {
		return this.fleet.allReportedSince(this.clock.steadyMillis() - maxAgeMillis);
	}

	@Override
	public double unsharedPromptTokensPerSecond(String service) {
		return sumOverNodes(service, ServiceDemand::promptTokensPerSecond);
	}

	@Override
	public double openRequests(String service) {
		return sumOverNodes(service, ServiceDemand::openRequests);
	}

	private double sumOverNodes(String service, ToLongFunction<ServiceDemand> quantity) {
		long own = sumOfService(this.ownDemands.report(this.clock.steadyMillis()), service, quantity);
		long others = this.fleet.recentReports()
			.stream()
			.mapToLong((report) -> sumOfService(report.services(), service, quantity))
			.sum();
		return (double) own + others;
	}

	private static long sumOfService(List<ServiceDemand> demands, String service,
			ToLongFunction<ServiceDemand> quantity) {
		return demands.stream().filter((demand) -> demand.service().equals(service)).mapToLong(quantity).sum();
	}

}
