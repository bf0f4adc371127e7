package io.flamingogap.core.servers;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link ServerSlowness}.
 */
class ServerSlownessTests {

	private final ServerSlowness slowness = new ServerSlowness();

	private void observe(double ratio, int count, long untilMillis) {
		for (int i = count - 1; i >= 0; i--) {
			this.slowness.recordObservation(50, 50 * ratio, untilMillis - i * 100L);
		}
	}

	@Test
	void newServerHasTheUsualSpeed() {
		assertThat(this.slowness.factor(0), is(1.0));
		assertThat(this.slowness.factor(1_000_000), is(1.0));
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0.7, 1.7, 5, 8 })
	void speedOfAServerIsLearnedFromManyRequests(double ratio) {
		observe(ratio, 40, 10_000);
		assertThat(this.slowness.factor(10_000), closeTo(ratio, ratio * 0.15));
	}

	@Test
	void oneRequestChangesLessThanMany() {
		observe(5, 1, 10_000);
		assertThat(this.slowness.factor(10_000), lessThan(2.5));
		observe(5, 5, 10_500);
		assertThat(this.slowness.factor(10_500), greaterThan(3.0));
	}

	@Test
	void serverThatRecoveredIsAskedAgain() {
		observe(5, 40, 10_000);
		assertThat(this.slowness.factor(50_000), lessThan(1.3));
		observe(5, 40, 60_000);
		observe(1, 40, 64_000);
		assertThat(this.slowness.factor(64_000), lessThan(3.2));
	}

	@Test
	void noiseOfTheReportsIsSmoothed() {
		SplittableRandom random = new SplittableRandom(20261206);
		double sum = 0;
		double highest = 0;
		for (int i = 0; i < 2_000; i++) {
			this.slowness.recordReport((random.nextDouble() < 0.15) ? 2.5 : 1, i * 50L);
			sum += this.slowness.factor(i * 50L);
			highest = Math.max(highest, this.slowness.factor(i * 50L));
		}
		assertThat(sum / 2_000, closeTo(1.225, 0.05));
		assertThat(highest, lessThan(1.75));
	}

	@Test
	void singleReportAfterALongTimeIsNotBelievedInFull() {
		this.slowness.recordReport(2.5, 60_000);
		assertThat(this.slowness.factor(60_000), lessThanOrEqualTo(1.4));
	}

	@Test
	void lastingSlownessIsBelievedWithinASecondOfAnswers() {
		for (int i = 0; i < 20; i++) {
			this.slowness.recordReport(5, 10_000 + i * 50L);
		}
		assertThat(this.slowness.factor(10_950), greaterThan(3.0));
	}

	@Test
	void reportThatStopsIsForgotten() {
		for (int i = 0; i < 200; i++) {
			this.slowness.recordReport(5, 10_000 + i * 50L);
		}
		assertThat(this.slowness.factor(40_000), lessThan(1.1));
	}

	// A frozen server may go on to report that its machine is as fast as usual.
	@Test
	void goodReportsDoNotHideWhatRequestsTook() {
		for (int i = 0; i < 40; i++) {
			this.slowness.recordReport(1, 10_000 + i * 50L);
			this.slowness.recordObservation(50, 400, 10_000 + i * 50L);
		}
		assertThat(this.slowness.factor(12_000), greaterThan(6.0));
	}

	@Test
	void slownessThatIsReportedAndObservedCountsOnce() {
		for (int i = 0; i < 100; i++) {
			this.slowness.recordReport(2, 10_000 + i * 50L);
			this.slowness.recordObservation(50, 100, 10_000 + i * 50L);
		}
		assertThat(this.slowness.factor(14_950), closeTo(2, 0.3));
	}

	@ParameterizedTest
	@ValueSource(doubles = { 0, -1, Double.NaN })
	void impossibleReportsChangeNothing(double factor) {
		this.slowness.recordReport(factor, 1_000);
		this.slowness.recordObservation(factor, 100, 1_000);
		assertThat(this.slowness.factor(1_000), is(1.0));
	}

	@ParameterizedTest
	@ValueSource(doubles = { 1e9, Double.POSITIVE_INFINITY })
	void hugeReportsAreLimited(double factor) {
		for (int i = 0; i < 100; i++) {
			this.slowness.recordReport(factor, i * 50L);
		}
		assertThat(this.slowness.factor(5_000), lessThanOrEqualTo(20.0));
	}

}
