package io.flamingogap.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.AllowedRegions;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.ListenerLimits;
import io.flamingogap.core.serving.RequestKind;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.core.serving.WeightedService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;

/**
 * Tests of {@link EntryNodePlacement}. There is one node in each zone: a1 and a2 are in
 * region a, b1 is in b, c1 in c.
 */
class EntryNodePlacementTests {

	private static final Map<String, String> REGIONS = Map.of("a1", "a", "a2", "a", "b1", "b", "c1", "c", "d1", "d");

	private static final List<String> ZONES = List.of("a1", "a2", "b1", "c1");

	private final FleetView fleet = new FleetView(new NodeId("node-a1", 1), 1_000);

	private final EntryNodePlacement placement = new EntryNodePlacement(REGIONS);

	@BeforeEach
	void recordNodes() {
		ZONES.forEach((zone) -> this.fleet.record(report(zone), 0));
	}

	private static NodeReport report(String zone) {
		return new NodeReport(new NodeId("node-" + zone, 1), 1, address(zone), zone, true, 0, Map.of(), List.of(),
				List.of());
	}

	private static Address address(String zone) {
		return new Address("10.0.0.1", 80 + ZONES.indexOf(zone));
	}

	private static RouteRule route(String name, AllowedRegions regions) {
		return new RouteRule(name, "desk.example", "/" + name + "/", RequestKind.IDEMPOTENT, 1_000, 100, 0,
				List.of(new WeightedService("desk", 1)), 2, false, false, false, regions);
	}

	private static ClientAccount account(AllowedRegions regions) {
		return new ClientAccount("growers", List.of("k"), OptionalInt.empty(), new AccountQuota(0, 0, false, 0),
				regions);
	}

	private static Optional<ServingConfig> config(List<RouteRule> routes, ClientAccount... accounts) {
		return Optional.of(ServingConfig.of(1, routes, List.of(), List.of(accounts), ListenerLimits.DEFAULT));
	}

	private List<Address> lookUp(String region, String zone, Optional<ServingConfig> config) {
		return this.placement.addressesFor(new EntryNodePlacement.Lookup("desk.example", region, zone), this.fleet,
				report("a1"), config);
	}

	@Test
	void callersOfUnrestrictedHostsGetAllNodes() {
		assertThat(lookUp("b", "b1", config(List.of(route("any", AllowedRegions.ALL)))),
				containsInAnyOrder(address("a1"), address("a2"), address("b1"), address("c1")));
	}

	@Test
	void callersOfRestrictedHostsGetNodesOfTheirRegionAndOfAllowedOnes() {
		assertThat(lookUp("b", "b1", config(List.of(route("near", AllowedRegions.only(List.of("a")))))),
				containsInAnyOrder(address("a1"), address("a2"), address("b1")));
	}

	@Test
	void oneRestrictedRouteOfTheHostSuffices() {
		assertThat(
				lookUp("b", "b1",
						config(List.of(route("near", AllowedRegions.only(List.of("a", "c"))),
								route("far", AllowedRegions.only(List.of("c"))), route("any", AllowedRegions.ALL)))),
				containsInAnyOrder(address("b1"), address("c1")));
	}

	@Test
	void restrictionsOfAccountsCount() {
		assertThat(
				lookUp("b", "b1",
						config(List.of(route("any", AllowedRegions.ALL)), account(AllowedRegions.only(List.of("c"))))),
				containsInAnyOrder(address("b1"), address("c1")));
	}

	@Test
	void regionIsThatOfTheZoneIfTheLookupStatesNone() {
		assertThat(lookUp("", "a1", config(List.of(route("near", AllowedRegions.only(List.of("b")))))),
				containsInAnyOrder(address("a1"), address("a2"), address("b1")));
	}

	@Test
	void callersInARegionWithoutNodesGetNodesThatSomeRestrictionAllows() {
		assertThat(
				lookUp("d", "d1",
						config(List.of(route("near", AllowedRegions.only(List.of("a"))),
								route("far", AllowedRegions.only(List.of("c")))))),
				containsInAnyOrder(address("a1"), address("a2"), address("c1")));
	}

	@Test
	void noNodeIsNamedIfNoneIsAllowed() {
		assertThat(lookUp("d", "d1", config(List.of(route("near", AllowedRegions.only(List.of("d")))))), empty());
	}

	@Test
	void otherNodesAreNamedForRoutesWithoutARestriction() {
		assertThat(
				lookUp("d", "d1",
						config(List.of(route("near", AllowedRegions.only(List.of("d"))),
								route("any", AllowedRegions.ALL)))),
				containsInAnyOrder(address("a1"), address("a2"), address("b1"), address("c1")));
	}

	@Test
	void callersStayInTheirRegionAsLongAsTheConfigurationIsUnknown() {
		assertThat(lookUp("a", "a1", Optional.empty()), containsInAnyOrder(address("a1"), address("a2")));
	}

}
