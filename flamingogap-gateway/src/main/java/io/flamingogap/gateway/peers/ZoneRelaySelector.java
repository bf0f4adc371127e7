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
 * Names the node that calls the store for its zone: the serving one whose name comes
 * first. Nodes may disagree for a while; a node only relays through one whose name comes
 * before its own, so they never relay through each other.
 */
public final class ZoneRelaySelector {

	/**
	 * After a relay failed, it isn't asked for so long; it is then no longer heard of if
	 * it is gone.
	 */
	private static final long AVOID_MILLIS = 4_500;

	private final FleetView fleet;

	private final String zone;

	private final String self;

	private final Optional<Integer> port;

	private final LongSupplier steadyMillis;

	private final Map<String, Long> avoidUntilMillis = new HashMap<>();

	/**
	 * Create a relay.
	 * @param fleet the reports of other nodes
	 * @param zone the zone of this node
	 * @param self the name of this node
	 * @param port the port at which nodes answer each other; empty if they don't
	 * @param steadyMillis tells the present time
	 */
	public ZoneRelaySelector(FleetView fleet, String zone, String self, Optional<Integer> port,
			LongSupplier steadyMillis) {
		this.fleet = fleet;
		this.zone = zone;
		this.self = self;
		this.port = port;
		this.steadyMillis = steadyMillis;
	}

	/**
	 * Return the node to relay through.
	 * @return the node, or nothing if this node calls the store itself
	 */
	Optional<Relay> current() {
		long nowMillis = this.steadyMillis.getAsLong();
		return this.port.flatMap((number) -> this.fleet.recentReports()
			.stream()
			.filter((report) -> mayRelay(report, nowMillis))
			.min(Comparator.comparing((NodeReport report) -> report.node().name()))
			.map((report) -> new Relay(report.node().name(), new Address(report.callerAddress().host(), number))));
	}

	private boolean mayRelay(NodeReport report, long nowMillis) {
		String name = report.node().name();
		return report.serving() && report.zone().equals(this.zone) && name.compareTo(this.self) < 0
				&& nowMillis >= this.avoidUntilMillis.getOrDefault(name, Long.MIN_VALUE);
	}

	/**
	 * Leave a node alone for a while that didn't relay.
	 * @param relay the node
	 */
	void avoid(Relay relay) {
		this.avoidUntilMillis.put(relay.node(), this.steadyMillis.getAsLong() + AVOID_MILLIS);
	}

	/**
	 * A node that calls the store for others.
	 *
	 * @param node its name
	 * @param address where it answers other nodes
	 */
	record Relay(String node, Address address) {
	}

}
