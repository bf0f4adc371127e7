package io.flamingogap.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.serving.ScaleBounds;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * The plan of servers.
 */
class FleetPlannerTests {

	private static final ScaleBounds BOUNDS = new ScaleBounds(1, 12, 4, 0.18,
			Map.of("dear", 1.25, "middle", 1.0, "cheap", 0.8));

	private static int servers(List<ServerPlan> plan, boolean reclaimable, String zone) {
		return plan.stream()
			.filter((row) -> row.reclaimable() == reclaimable && row.zone().equals(zone))
			.mapToInt(ServerPlan::servers)
			.sum();
	}

	private static int reclaimable(List<ServerPlan> plan) {
		return plan.stream().filter(ServerPlan::reclaimable).mapToInt(ServerPlan::servers).sum();
	}

	@Test
	void lossOfAZoneLeavesEnoughServers() {
		Map<String, Integer> ready = Map.of("dear", 3, "middle", 3, "cheap", 3);
		List<ServerPlan> plan = FleetPlanner.plan("engine", BOUNDS, 6, ready, Set.of());
		for (String zone : BOUNDS.zonePrices().keySet()) {
			assertThat(reclaimable(plan) - servers(plan, true, zone), greaterThanOrEqualTo(6));
		}
	}

	@Test
	void fullPriceServersStandInTheCheapestZoneForWhatIsMissing() {
		List<ServerPlan> plan = FleetPlanner.plan("engine", BOUNDS, 6, Map.of("dear", 2), Set.of());
		assertThat(servers(plan, false, "cheap"), is(4));
		assertThat(servers(plan, false, "dear"), is(0));
	}

	@Test
	void nothingReclaimableIsOrderedInADryZone() {
		List<ServerPlan> plan = FleetPlanner.plan("engine", BOUNDS, 6, Map.of(), Set.of("cheap"));
		assertThat(plan.stream().anyMatch((row) -> row.reclaimable() && row.zone().equals("cheap")), is(false));
	}

	@Test
	void demandOfPromptsOrOfSlotsDecidesTheNeed() {
		assertThat(FleetPlanner.need(331_000, 0, 48), greaterThanOrEqualTo(10));
		assertThat(FleetPlanner.need(0, 480, 48), greaterThanOrEqualTo(10));
	}

}
