package io.flamingogap.gateway.peers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.node.Address;

/**
 * Selects the relay of the zone, which is the node that calls the store for the others:
 * the serving node whose name sorts first. Nodes may disagree for a while. A node relays
 * only through one whose name sorts before its own, so that nodes never relay through
 * each other.
 */
public final class ZoneRelaySelector {

	/**
	 * How long a relay is avoided after it failed. Long enough for the reports of a node
	 * that has stopped to be dropped as too old, so that it isn't selected again.
	 */
	private static final long AVOID_MILLIS = 4_500;

	private final FleetView fleet;

	private final String zone;

	private final String selfName;

	private final Optional<Integer> peerPort;

	private final LongSupplier steadyMillis;

	private final Map<String, Long> avoidUntilMillis = new HashMap<>();

	/**
	 * Create a selector.
	 * @param fleet the reports of other nodes
	 * @param zone the zone of this node
	 * @param selfName the name of this node
	 * @param peerPort the port on which nodes answer each other; empty if they don't
	 * @param steadyMillis the monotonic clock, in milliseconds
	 */
	public ZoneRelaySelector(FleetView fleet, String zone, String selfName, Optional<Integer> peerPort,
			LongSupplier steadyMillis) {
		this.fleet = fleet;
		this.zone = zone;
		this.selfName = selfName;
		this.peerPort = peerPort;
		this.steadyMillis = steadyMillis;
	}

	/**
	 * Return the node through which to call the store.
	 * @return the relay; empty if this node calls the store itself
	 */
	Optional<Relay> currentRelay() {
		long nowMillis = this.steadyMillis.getAsLong();
		return this.peerPort.flatMap((knownPort) -> this.fleet.recentReports()
			.stream()
			.filter((report) -> isCandidate(report, nowMillis))
			.min(Comparator.comparing((NodeReport report) -> report.node().name()))
			.map((report) -> new Relay(report.node().name(), new Address(report.callerAddress().host(), knownPort))));
	}

	private boolean isCandidate(NodeReport report, long nowMillis) {
		String name = report.node().name();
		return report.serving() && report.zone().equals(this.zone) && name.compareTo(this.selfName) < 0
				&& nowMillis >= this.avoidUntilMillis.getOrDefault(name, Long.MIN_VALUE);
	}

	/**
	 * Exclude a relay for a while after it failed.
	 * @param relay the relay
	 */
	void avoid(Relay relay) {
		this.avoidUntilMillis.put(relay.node(), this.steadyMillis.getAsLong() + AVOID_MILLIS);
	}

	/**
	 * A node that calls the store for others.
	 *
	 * @param node the name of the node
	 * @param address the address at which it answers other nodes
	 */
	record Relay(String node, Address address) {
	}

}
