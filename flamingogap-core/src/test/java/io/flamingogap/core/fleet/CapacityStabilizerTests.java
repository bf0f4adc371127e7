package io.flamingogap.core.fleet;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link CapacityStabilizer}.
 */
class CapacityStabilizerTests {

	@Test
	void fleetOfTheOperatorsStaysBeforeTheDemandIsKnown() {
		CapacityStabilizer stabilizer = new CapacityStabilizer(45, true);
		for (long now = 0; now <= 12_000; now += 500) {
			assertThat(stabilizer.update(12, false, now), is(new DesiredCapacity(45, 0)));
		}
	}

	@Test
	void serversAreRequiredAsSoonAsThereIsDemand() {
		CapacityStabilizer stabilizer = new CapacityStabilizer(45, true);
		stabilizer.update(12, false, 0);
		assertThat(stabilizer.update(20, true, 500), is(new DesiredCapacity(45, 20)));
		assertThat(stabilizer.update(50, true, 1_000), is(new DesiredCapacity(50, 50)));
	}

	// A service kept the number of servers that its operators had started for minutes.
	@Test
	void firstPeriodWithDemandReplacesTheGuess() {
		CapacityStabilizer stabilizer = new CapacityStabilizer(45, true);
		stabilizer.update(6, false, 0);
		assertThat(stabilizer.update(6, false, 60_000).target(), greaterThan(36));
		stabilizer.update(12, true, 61_000);
		assertThat(stabilizer.update(20, true, 66_000).target(), greaterThan(36));
		assertThat(stabilizer.update(14, true, 73_001).target(), is(20));
	}

	@Test
	void valleyOfAWaveReleasesNothing() {
		CapacityStabilizer stabilizer = new CapacityStabilizer(10, false);
		stabilizer.update(20, true, 0);
		assertThat(stabilizer.update(8, true, 11_000), is(new DesiredCapacity(20, 20)));
		assertThat(stabilizer.update(20, true, 12_500), is(new DesiredCapacity(20, 20)));
	}

	@Test
	void surplusOfALargeFleetIsReleasedAsFastAsThatOfASmallOne() {
		for (int size : new int[] { 10, 100, 880 }) {
			CapacityStabilizer stabilizer = new CapacityStabilizer(size, false);
			DesiredCapacity capacity = stabilizer.update(size, true, 0);
			for (long now = 500; now <= 60_000; now += 500) {
				capacity = stabilizer.update(size / 2, true, now);
			}
			assertThat(capacity.target(), lessThanOrEqualTo((int) (size * 0.75)));
		}
	}

	@Test
	void unknownDemandRequiresWhatIsThere() {
		assertThat(new CapacityStabilizer(9, false).update(6, false, 0), is(new DesiredCapacity(9, 9)));
	}

}
