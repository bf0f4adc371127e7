package io.flamingogap.core.fleet;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link FleetClock}.
 */
class FleetClockTests {

	private final FleetClock clock = new FleetClock();

	@Test
	void ownClockIsUsedWithoutOthers() {
		assertThat(this.clock.correctedTimeOfDayMillis(5_000_000, 100), is(5_000_000L));
	}

	@Test
	void ownClockIsUsedWhileItAgrees() {
		this.clock.record("a", 5_000_000, 100);
		this.clock.record("b", 5_000_300, 100);
		assertThat(this.clock.correctedTimeOfDayMillis(5_000_000, 100), is(5_000_000L));
	}

	@Test
	void medianIsUsedWhenTheClocksDisagree() {
		this.clock.record("a", 5_000_000, 100);
		this.clock.record("b", 5_000_000, 100);
		this.clock.record("jumped", 5_900_000, 100);
		assertThat(this.clock.correctedTimeOfDayMillis(5_010_000, 200), is(5_000_600L));
	}

	// Reports that arrived late after an outage of the store made the corrected time fall
	// behind, and with it the tokens of the next holder.
	@Test
	void reportThatArrivesLateDoesNotMakeTheClockLate() {
		for (String node : new String[] { "a", "b" }) {
			this.clock.record(node, 5_000_000, 0);
			this.clock.record(node, 5_001_500, 3_700);
		}
		assertThat(this.clock.correctedTimeOfDayMillis(5_003_800, 3_800), is(5_003_800L));
	}

	@Test
	void clockOfANodeIsForgottenAfterSomeReports() {
		for (String node : new String[] { "a", "b" }) {
			this.clock.record(node, 5_900_000, 0);
			for (int i = 1; i <= 4; i++) {
				this.clock.record(node, 5_000_000 + i * 1_500, i * 1_500);
			}
		}
		assertThat(this.clock.correctedTimeOfDayMillis(5_006_200, 6_200), is(5_006_200L));
	}

}
