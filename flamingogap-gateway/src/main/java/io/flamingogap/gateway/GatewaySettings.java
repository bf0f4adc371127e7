package io.flamingogap.gateway;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.flamingogap.core.duty.Fencing;
import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.relay.RelayLimits;

/**
 * The settings of an entry node, which don't change while it runs.
 *
 * @param node the name of the node, which is the same for each of its runs
 * @param zone the availability zone of the node
 * @param regionsByZone the region of each availability zone
 * @param listen the addresses that the node listens on
 * @param firstStart whether the whole fleet starts for the first time
 * @param relayLimits the limits of the request path
 * @param stopTimeoutMillis the maximum duration of a graceful shutdown, in milliseconds
 * @param maxConnections the maximum number of connections that others may have to this
 * node; the heap may allow fewer
 * @param duties the settings of the fleet-wide tasks that one node at a time performs
 */
public record GatewaySettings(String node, String zone, Map<String, String> regionsByZone, Listen listen,
		boolean firstStart, RelayLimits relayLimits, long stopTimeoutMillis, int maxConnections, DutySettings duties) {

	public GatewaySettings {
		Objects.requireNonNull(node, "node must not be null");
		Objects.requireNonNull(zone, "zone must not be null");
		Objects.requireNonNull(listen, "listen must not be null");
		regionsByZone = Map.copyOf(regionsByZone);
	}

	/**
	 * The addresses that a node listens on. The node doesn't listen for a purpose whose
	 * address is empty.
	 *
	 * @param callers the address for callers' requests
	 * @param readiness the address for readiness checks
	 * @param directory the address for callers' lookups of entry nodes
	 * @param metrics the address for metrics
	 * @param peers the address for other nodes; its port is the same on every node
	 */
	public record Listen(Optional<Address> callers, Optional<Address> readiness, Optional<Address> directory,
			Optional<Address> metrics, Optional<Address> peers) {
	}

	/**
	 * Settings of the duties: the tasks that one node at a time, the holder, performs for
	 * all nodes. These are to report usage to the cloud, to order servers and to publish
	 * the statuses of rollouts.
	 *
	 * @param leaseMillis the lease of the holder, in milliseconds; a node that regains
	 * the duties waits until this time has passed since it last acted, so that the
	 * actions of two holders never alternate within a lease
	 * @param cloudChecksTokens whether the cloud refuses calls with a lower fencing token
	 * than it has seen
	 * @param usageWindowMillis the length of a usage window, in milliseconds; 0 if usage
	 * isn't reported
	 * @param maxCandidateShare the maximum share of requests, from 0 to 1, that a version
	 * gets while a rollout tests it
	 */
	public record DutySettings(long leaseMillis, boolean cloudChecksTokens, long usageWindowMillis,
			double maxCandidateShare) {

		/**
		 * Return who keeps a previous holder of the duties from acting.
		 * @return the cloud, if it checks fencing tokens
		 */
		public Fencing fencing() {
			return this.cloudChecksTokens ? Fencing.CHECKED_BY_CLOUD : Fencing.KEPT_BY_HOLDERS;
		}

	}

}
