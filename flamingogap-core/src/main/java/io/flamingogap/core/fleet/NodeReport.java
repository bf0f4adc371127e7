package io.flamingogap.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.rollout.Tally;

/**
 * Periodic report of an entry node about itself.
 *
 * @param node the identity of this run of the node
 * @param sequence the number of the report; a later report of the same run of the node
 * has a greater one
 * @param callerAddress the address that callers connect to
 * @param zone the availability zone of the node
 * @param serving whether the node may be offered to callers
 * @param timeOfDayMillis the node's time of day, in milliseconds since 1970 UTC
 * @param usage the number of requests that servers started to process, by window and
 * account
 * @param services the demand at this node, by service
 * @param tallies the outcomes by version; empty unless a rollout is in progress
 */
public record NodeReport(NodeId node, long sequence, Address callerAddress, String zone, boolean serving,
		long timeOfDayMillis, Map<Long, Map<String, Long>> usage, List<ServiceDemand> services,
		List<VersionTally> tallies) {

	public NodeReport {
		Objects.requireNonNull(node, "node must not be null");
		Objects.requireNonNull(callerAddress, "callerAddress must not be null");
		Objects.requireNonNull(zone, "zone must not be null");
		usage = Map.copyOf(usage);
		services = List.copyOf(services);
		tallies = List.copyOf(tallies);
	}

	/**
	 * Demand for a service at one node.
	 *
	 * @param service the name of the service
	 * @param openRequests the number of open requests
	 * @param promptTokensPerSecond the rate at which prompt tokens arrive
	 * @param requestsPerMinute the rate at which requests arrive
	 */
	public record ServiceDemand(String service, int openRequests, long promptTokensPerSecond, long requestsPerMinute) {
	}

	/**
	 * Outcomes of one version of a service on one route.
	 *
	 * @param service the name of the service
	 * @param version the name of the version
	 * @param route the name of the route
	 * @param tally the counts since the rollout began
	 */
	public record VersionTally(String service, String version, String route, Tally tally) {
	}

}
