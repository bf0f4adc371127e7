package io.flamingogap.gateway.peers;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.fleet.FleetView;
import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ZoneRelaySelector}: which node calls the store for its zone.
 */
class ZoneRelaySelectorTests {

	private static final int PORT = 7600;

	private final FleetView fleet = new FleetView(new NodeId("node-m", 1), 1_500);

	private long nowMillis = 100_000;

	private final ZoneRelaySelector selector = new ZoneRelaySelector(this.fleet, "z1", "node-m", Optional.of(PORT),
			() -> this.nowMillis);

	private void report(String node, String zone, boolean serving) {
		this.fleet.setCurrentTime(this.nowMillis);
		this.fleet.record(new NodeReport(new NodeId(node, 1), 1, new Address("10.0.0.9", 80), zone, serving, 0,
				Map.of(), List.of(), List.of()), this.nowMillis);
	}

	private Optional<String> currentRelayName() {
		return this.selector.currentRelay().map(ZoneRelaySelector.Relay::node);
	}

	@Test
	void selectsTheServingNodeWhoseNameSortsFirst() {
		report("node-c", "z1", true);
		report("node-b", "z1", true);
		assertThat(currentRelayName(), is(Optional.of("node-b")));
		assertThat(this.selector.currentRelay().get().address(), is(new Address("10.0.0.9", PORT)));
	}

	@Test
	void ignoresNodesOfOtherZonesAndNodesThatDoNotServe() {
		report("node-a", "z2", true);
		report("node-b", "z1", false);
		assertThat(currentRelayName(), is(Optional.empty()));
	}

	@Test
	void selectsNoRelayIfTheNameOfThisNodeSortsFirst() {
		report("node-z", "z1", true);
		assertThat(currentRelayName(), is(Optional.empty()));
	}

	@Test
	void avoidsAFailedRelayForAWhile() {
		report("node-b", "z1", true);
		report("node-c", "z1", true);
		this.selector.avoid(this.selector.currentRelay().get());
		assertThat(currentRelayName(), is(Optional.of("node-c")));
		this.nowMillis += 4_500;
		report("node-b", "z1", true);
		assertThat(currentRelayName(), is(Optional.of("node-b")));
	}

}
