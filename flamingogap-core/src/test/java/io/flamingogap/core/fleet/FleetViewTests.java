package io.flamingogap.core.fleet;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.duty.UsageCounts;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link FleetView}.
 */
class FleetViewTests {

	private static final long REPORT_MILLIS = 1_000;

	private final FleetView fleet = new FleetView(new NodeId("self", 1), REPORT_MILLIS);

	private static NodeReport report(String name, long incarnation, String zone, int host, boolean serving,
			Map<Long, Map<String, Long>> usage) {
		return report(name, incarnation, 1, zone, host, serving, usage);
	}

	private static NodeReport report(String name, long incarnation, long sequence, String zone, int host,
			boolean serving, Map<Long, Map<String, Long>> usage) {
		return new NodeReport(new NodeId(name, incarnation), sequence, address(host), zone, serving, 0, usage,
				List.of(), List.of());
	}

	private static Address address(int host) {
		return new Address("10.0.0." + host, 80);
	}

	@Nested
	class CallerAddresses {

		private final NodeReport own = report("self", 1, "z1", 1, true, Map.of());

		@Test
		void callersGetTheNodesOfTheirZone() {
			FleetViewTests.this.fleet.record(report("a", 1, "z1", 2, true, Map.of()), 0);
			FleetViewTests.this.fleet.record(report("b", 1, "z2", 3, true, Map.of()), 0);
			assertThat(FleetViewTests.this.fleet.callerAddressesFor("z1", this.own),
					containsInAnyOrder(address(1), address(2)));
		}

		private void receive(long sequence, long timeOfDayMillis, long nowMillis) {
			NodeReport received = new NodeReport(new NodeId("a", 1), sequence, address(2), "z1", true, timeOfDayMillis,
					Map.of(), List.of(), List.of());
			FleetViewTests.this.fleet.setCurrentTime(nowMillis);
			FleetViewTests.this.fleet.recordReceived(received, nowMillis);
		}

		private boolean isNamedAt(long nowMillis) {
			FleetViewTests.this.fleet.setCurrentTime(nowMillis);
			return FleetViewTests.this.fleet.callerAddressesFor("z1", this.own).contains(address(2));
		}

		// A report that the store applied 6 s late named a node that had been killed.
		@Test
		void reportThatArrivesLateCountsFromWhenItWasMade() {
			receive(1, 50_000, 1_000);
			receive(2, 51_000, 2_300);
			receive(3, 52_000, 9_000);
			assertThat(isNamedAt(9_000), is(false));
		}

		@Test
		void delayThatIsTheSameForAllReportsDoesNotCount() {
			for (int i = 1; i < 20; i++) {
				receive(i, i * REPORT_MILLIS, i * REPORT_MILLIS + 30_000);
				assertThat(isNamedAt(i * REPORT_MILLIS + 30_000 + 2 * REPORT_MILLIS), is(true));
			}
		}

		@Test
		void clockThatRunsSlowlyDoesNotHideItsNode() {
			for (int i = 1; i < 5_000; i++) {
				receive(i, i * (REPORT_MILLIS - 20), i * REPORT_MILLIS + 500);
				assertThat(isNamedAt(i * REPORT_MILLIS + 500 + REPORT_MILLIS), is(true));
			}
		}

		@ParameterizedTest
		@ValueSource(longs = { -3_600_000, -4_000, -1_500, -900, 700, 4_000, 3_600_000 })
		void stepsOfTheClockOfANodeThatRunsDoNotHideIt(long stepMillis) {
			long clockMillis = 10_000_000;
			for (int i = 1; i < 60; i++) {
				clockMillis += REPORT_MILLIS;
				if (i % 7 == 0) {
					clockMillis += (i % 2 == 0) ? stepMillis : -stepMillis;
				}
				receive(i, clockMillis, i * REPORT_MILLIS + 500);
				assertThat(isNamedAt(i * REPORT_MILLIS + 500 + REPORT_MILLIS), is(true));
			}
		}

		@Test
		void callersOfAZoneWithOneNodeGetAll() {
			FleetViewTests.this.fleet.record(report("b", 1, "z2", 3, true, Map.of()), 0);
			assertThat(FleetViewTests.this.fleet.callerAddressesFor("z2", this.own),
					containsInAnyOrder(address(1), address(3)));
		}

		// Callers were sent to a node that was stopping, after an earlier report of it
		// was
		// stored late.
		@Test
		void lateReportDoesNotOfferALeavingNodeAgain() {
			FleetViewTests.this.fleet.record(report("a", 1, 7, "z1", 2, false, Map.of()), 0);
			FleetViewTests.this.fleet.record(report("a", 1, 6, "z1", 2, true, Map.of()), 100);
			assertThat(FleetViewTests.this.fleet.callerAddressesFor("z1", this.own), containsInAnyOrder(address(1)));
		}

		@Test
		void lateReportOfAnEarlierRunDoesNotReplaceTheCurrentOne() {
			FleetViewTests.this.fleet.record(report("a", 1, 9, "z1", 2, true, Map.of()), 0);
			FleetViewTests.this.fleet.record(report("a", 2, 1, "z1", 3, true, Map.of()), 100);
			FleetViewTests.this.fleet.record(report("a", 1, 8, "z1", 2, true, Map.of()), 200);
			assertThat(FleetViewTests.this.fleet.callerAddressesFor("z1", this.own),
					containsInAnyOrder(address(1), address(3)));
		}

		@Test
		void silentAndLeavingNodesAreNotOffered() {
			FleetViewTests.this.fleet.record(report("a", 1, "z1", 2, true, Map.of()), 0);
			FleetViewTests.this.fleet.record(report("b", 1, "z1", 3, false, Map.of()), 9_000);
			FleetViewTests.this.fleet.setCurrentTime(9_000);
			assertThat(FleetViewTests.this.fleet.callerAddressesFor("z1", this.own), contains(address(1)));
		}

	}

	@Nested
	class Usage {

		@Test
		void countsOfAnEarlierRunOfANodeStay() {
			FleetViewTests.this.fleet.record(report("a", 1, "z1", 2, true, Map.of(7L, Map.of("growers", 4L))), 0);
			FleetViewTests.this.fleet.record(report("a", 2, "z1", 2, true, Map.of(7L, Map.of("growers", 3L))), 10);
			UsageCounts own = new UsageCounts();
			own.count(7, "growers");
			assertThat(FleetViewTests.this.fleet.usageInWindow(7, own), is(Map.of("growers", 8L)));
		}

		@Test
		void countsOfThePreviousRunOfThisNodeStay() {
			FleetViewTests.this.fleet.record(report("self", 0, "z1", 1, true, Map.of(7L, Map.of("growers", 4L))), 0);
			assertThat(FleetViewTests.this.fleet.usageInWindow(7, new UsageCounts()), is(Map.of("growers", 4L)));
			assertThat(FleetViewTests.this.fleet.nodes(), is(1));
		}

		@Test
		void repeatedReportsCountOnce() {
			NodeReport report = report("a", 1, "z1", 2, true, Map.of(7L, Map.of("growers", 4L)));
			FleetViewTests.this.fleet.record(report, 0);
			FleetViewTests.this.fleet.record(report, 10);
			assertThat(FleetViewTests.this.fleet.usageInWindow(7, new UsageCounts()), is(Map.of("growers", 4L)));
		}

	}

	@Nested
	class KnownNodes {

		@Test
		void silentNodesCountUntilTheyAreRemoved() {
			FleetViewTests.this.fleet.record(report("a", 1, "z1", 2, true, Map.of()), 0);
			FleetViewTests.this.fleet.setCurrentTime(60_000);
			assertThat(FleetViewTests.this.fleet.nodes(), is(2));
			assertThat(FleetViewTests.this.fleet.knownReports().size(), is(1));
			assertThat(FleetViewTests.this.fleet.nodesSilentLongerThan(8_000), contains("a"));
			FleetViewTests.this.fleet.forget("a");
			assertThat(FleetViewTests.this.fleet.nodes(), is(1));
		}

	}

}
