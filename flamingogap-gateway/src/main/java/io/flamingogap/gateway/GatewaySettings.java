package io.flamingogap.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.relay.RelayLimits;

/**
 * What a process learns when it starts.
 *
 * @param node the name of the node
 * @param zone its availability zone
 * @param regionsByZone the region of each zone
 * @param listen where the node listens
 * @param firstStart whether the whole fleet starts for the first time
 * @param relayLimits the bounds of the request path
 * @param stopTimeoutMillis how long a planned stop may take
 * @param duties the bounds of the duties
 */
public record GatewaySettings(String node, String zone, Map<String, String> regionsByZone, Listen listen,
		boolean firstStart, RelayLimits relayLimits, long stopTimeoutMillis, DutySettings duties) {

	public GatewaySettings {
		Objects.requireNonNull(node, "node must not be null");
		Objects.requireNonNull(zone, "zone must not be null");
		Objects.requireNonNull(listen, "listen must not be null");
		regionsByZone = Map.copyOf(regionsByZone);
	}

	/**
	 * Where a node listens. A node may lack any of these.
	 *
	 * @param callers for callers' requests
	 * @param readiness for questions of whether the node is ready
	 * @param directory for questions of where to connect
	 * @param metrics for metrics
	 * @param peers for other nodes, at the same port on every node
	 */
	public record Listen(Optional<Address> callers, Optional<Address> readiness, Optional<Address> directory,
			Optional<Address> metrics, Optional<Address> peers) {
	}

	/**
	 * Bounds of the duties.
	 *
	 * @param leaseMillis the time in which two holders must not act by turns
	 * @param usageWindowMillis the length of a window of usage; 0 if usage isn't reported
	 * @param maxCandidateShare the most requests that a version under trial gets, as a
	 * share
	 */
	public record DutySettings(long leaseMillis, long usageWindowMillis, double maxCandidateShare) {
	}

}
