package io.flamingogap.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.serving.ScaleBounds;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link CapacityPlanner}.
 */
class CapacityPlannerTests {

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

	private static List<ServerPlan> plan(int desiredServers, Map<String, Integer> ready, Set<String> exhaustedZones) {
		return plan(new DesiredCapacity(desiredServers, desiredServers),
				new ServerSupply(ready, Map.of(), exhaustedZones, Map.of()));
	}

	private static List<ServerPlan> plan(DesiredCapacity desired, ServerSupply supply) {
		return CapacityPlanner.plan("engine", BOUNDS, desired, supply);
	}

	private static int fullPrice(List<ServerPlan> plan) {
		return plan.stream().filter((row) -> !row.reclaimable()).mapToInt(ServerPlan::servers).sum();
	}

	@Test
	void lossOfAZoneLeavesEnoughServers() {
		List<ServerPlan> plan = plan(6, Map.of("dear", 3, "middle", 3, "cheap", 3), Set.of());
		for (String zone : BOUNDS.zonePrices().keySet()) {
			assertThat(reclaimable(plan) - servers(plan, true, zone), greaterThanOrEqualTo(6));
		}
	}

	@Test
	void missingServersAreOrderedAtFullPriceInTheCheapestZone() {
		List<ServerPlan> plan = plan(6, Map.of("dear", 2), Set.of());
		assertThat(servers(plan, false, "cheap"), is(4));
		assertThat(servers(plan, false, "dear"), is(0));
	}

	@Test
	void bootingServersCountAsAvailable() {
		List<ServerPlan> plan = plan(new DesiredCapacity(9, 9),
				new ServerSupply(Map.of("dear", 2), Map.of("cheap", 4, "middle", 3), Set.of(), Map.of()));
		assertThat(fullPrice(plan), is(2));
	}

	@Test
	void noReclaimableServerIsOrderedInAnExhaustedZone() {
		List<ServerPlan> plan = plan(6, Map.of(), Set.of("cheap"));
		assertThat(plan.stream().anyMatch((row) -> row.reclaimable() && row.zone().equals("cheap")), is(false));
	}

	@Test
	void serviceWithoutRequestsGetsTheMinimumOfFullPriceServers() {
		List<ServerPlan> plan = plan(new DesiredCapacity(10, 0),
				new ServerSupply(Map.of(), Map.of(), Set.of(), Map.of()));
		assertThat(fullPrice(plan), is(2));
		assertThat(servers(plan, true, "dear"), is(5));
	}

	@Test
	void promptTokensOrSlotsDecideTheNumberOfServers() {
		assertThat(CapacityPlanner.estimateServers(331_000, 0, 48, 66, 3), greaterThanOrEqualTo(10));
		assertThat(CapacityPlanner.estimateServers(0, 480, 48, 66, 3), greaterThanOrEqualTo(10));
	}

	@Test
	void enginesThatAreFourTimesSlowerAreFourTimesAsMany() {
		assertThat(CapacityPlanner.estimateServers(720_000, 0, 48, 240, 3), is(10));
		assertThat(CapacityPlanner.estimateServers(720_000, 0, 48, 60, 3), is(40));
		assertThat(CapacityPlanner.estimateServers(720_000, 0, 48, 15, 3), is(160));
	}

	@Test
	void targetBeforeAnyDemandFollowsTheSizeOfTheFleet() {
		assertThat(CapacityPlanner.initialTarget(13, 0, 3), is(13));
		assertThat(CapacityPlanner.initialTarget(53, 0, 6), is(53));
		assertThat(CapacityPlanner.initialTarget(2, 15, 3), is(12));
	}

	@Nested
	class WhileReclaimableServersAreScarce {

		private final Map<String, Integer> ready = Map.of("cheap", 6, "middle", 6);

		@Test
		void fullPriceServersReplaceTheZoneThatMayBeReclaimedNext() {
			List<ServerPlan> plan = plan(12, this.ready, Set.of("dear"));
			assertThat(fullPrice(plan), greaterThanOrEqualTo(6));
		}

		@Test
		void fullPriceServersLeaveRoomForTheReclaimableOnes() {
			List<ServerPlan> plan = plan(36, this.ready, Set.of("dear", "middle", "cheap"));
			this.ready.forEach((zone, servers) -> assertThat(servers + servers(plan, false, zone),
					lessThanOrEqualTo(BOUNDS.maxPerZone())));
			assertThat(fullPrice(plan), is(3 * BOUNDS.maxPerZone() - 12));
		}

		@Test
		void noReclaimableServerIsReleased() {
			List<ServerPlan> plan = plan(2, Map.of("cheap", 7, "middle", 4), Set.of("dear"));
			assertThat(servers(plan, true, "cheap"), is(7));
		}

	}

}
