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

}
