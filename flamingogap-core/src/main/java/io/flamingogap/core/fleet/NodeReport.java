package io.flamingogap.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.rollout.Tally;

/**
 * What one run of an entry node reports of itself.
 *
 * @param node the run of the node
 * @param callerAddress where callers connect
 * @param zone its availability zone
 * @param serving whether callers may be sent to it
 * @param timeOfDayMillis its time of day, in milliseconds since 1970 UTC
 * @param demandPerSecond the quota units that callers ask for, by account
 * @param usage requests that servers began, by window and account
 * @param services what callers ask of services
 * @param tallies outcomes by version, while a rollout is under way
 */
public record NodeReport(NodeId node, Address callerAddress, String zone, boolean serving, long timeOfDayMillis,
		Map<String, Long> demandPerSecond, Map<Long, Map<String, Long>> usage, List<ServiceDemand> services,
		List<VersionTally> tallies) {

	public NodeReport {
		Objects.requireNonNull(node, "node must not be null");
		Objects.requireNonNull(callerAddress, "callerAddress must not be null");
		Objects.requireNonNull(zone, "zone must not be null");
		demandPerSecond = Map.copyOf(demandPerSecond);
		usage = Map.copyOf(usage);
		services = List.copyOf(services);
		tallies = List.copyOf(tallies);
	}

	/**
	 * What callers ask of a service.
	 *
	 * @param service the service
	 * @param openRequests the requests that are open
	 * @param promptTokensPerSecond the prompt tokens that arrive
	 * @param requestsPerMinute the requests that arrive
	 */
	public record ServiceDemand(String service, int openRequests, long promptTokensPerSecond, long requestsPerMinute) {
	}

	/**
	 * Outcomes of one version of a service on one route.
	 *
	 * @param service the service
	 * @param version the version
	 * @param route the route
	 * @param tally the counts since the rollout began
	 */
	public record VersionTally(String service, String version, String route, Tally tally) {
	}

}
