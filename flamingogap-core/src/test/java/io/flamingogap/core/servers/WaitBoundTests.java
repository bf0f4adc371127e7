package io.flamingogap.core.servers;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link WaitBound}, and of when {@link ReturnTime} lets refused callers return.
 */
class WaitBoundTests {

	private static ExpectedDelay waiting(double millis) {
		return new ExpectedDelay(millis, 20, 10, 0, 0, 0, 0);
	}

	@ParameterizedTest
	@CsvSource({ "600, false", "1800, false", "2200, true", "9000, true" })
	void requestIsRefusedBetweenItsGoalAndItsBudget(double millis, boolean expected) {
		assertThat(new WaitBound(508, 0, 8_127).isExceeded(waiting(millis), 1, 0), is(expected));
	}

	@Test
	void firstTokenBeyondTheRemainingBudgetIsRefused() {
		assertThat(new WaitBound(900, 500, 400).isExceeded(waiting(500), 1, 0), is(true));
		assertThat(new WaitBound(0, 0, 1_000).isExceeded(waiting(1_100), 1, 0), is(true));
		assertThat(new WaitBound(0, 0, 1_000).isExceeded(waiting(900), 1, 0), is(false));
	}

	@Test
	void requestThatWouldNotWaitIsNeverRefused() {
		ExpectedDelay slowWork = new ExpectedDelay(0, 3_000, 20_000, 10, 0, 70, 5_000);
		assertThat(new WaitBound(100, 0, 1_000).isExceeded(slowWork, 1.5, 0.9), is(false));
	}

	@Test
	void riskOfFailuresIsNoWait() {
		ExpectedDelay failing = new ExpectedDelay(0, 10, 10, 0, 0, 0, 50_000);
		assertThat(new WaitBound(100, 0, 1_000).isExceeded(failing, 1, 0), is(false));
	}

	@Test
	void lessUrgentRequestsAreRefusedEarlier() {
		WaitBound bound = new WaitBound(508, 0, 8_127);
		assertThat(bound.limitMillis(0.8), lessThan(bound.limitMillis(0)));
		assertThat(bound.limitMillis(0.999), greaterThan(508.0));
	}

	@Test
	void predictionsAreCorrectedByTheirError() {
		WaitBound bound = new WaitBound(508, 0, 8_127);
		assertThat(bound.isExceeded(waiting(1_600), 1.5, 0), is(true));
		assertThat(bound.isExceeded(waiting(2_800), 0.5, 0), is(false));
	}

	@Test
	void errorOfPredictionsIsLearnedWithinLimits() {
		PredictionError error = new PredictionError();
		for (int i = 0; i < 200; i++) {
			error.record(100, 130);
		}
		assertThat(error.ratio(), closeTo(1.3, 0.01));
		error.record(0, 100);
		error.record(Double.NaN, 100);
		error.record(100, Double.POSITIVE_INFINITY);
		assertThat(error.ratio(), lessThanOrEqualTo(1.5));
	}

	// A queue that was made late together: all of these were taken in.
	@Test
	void burstIsNotMadeLateTogether() {
		WaitBound bound = new WaitBound(1_519, 0, 10_130);
		double queueMillis = 0;
		int refused = 0;
		for (int i = 0; i < 200; i++) {
			if (bound.isExceeded(waiting(queueMillis), 1, 0)) {
				refused++;
			}
			else {
				queueMillis += 50;
			}
		}
		assertThat(refused, greaterThan(100));
		assertThat(queueMillis, lessThan(4_000.0));
	}

	@Test
	void refusedCallersReturnWhenTheQueueAllowsTheirGoal() {
		WaitBound bound = new WaitBound(500, 0, 8_000);
		assertThat((double) ReturnTime.whenQueueIsLong(1_500, bound, 0, 0.5), closeTo(1_000, 1));
		assertThat(ReturnTime.whenQueueIsLong(1_500, bound, 0.5, 0.5),
				greaterThan(ReturnTime.whenQueueIsLong(1_500, bound, 0, 0.5)));
		assertThat(ReturnTime.whenQueueIsLong(1_500, bound, 0, 0),
				lessThan(ReturnTime.whenQueueIsLong(1_500, bound, 0, 1)));
	}

	@Test
	void refusedCallersAreAskedToReturnWithinTheirBudget() {
		WaitBound bound = new WaitBound(500, 0, 3_000);
		assertThat(ReturnTime.whenQueueIsLong(60_000, bound, 0.9, 1), lessThanOrEqualTo(1_000L));
		assertThat(ReturnTime.whenQueueIsLong(100, bound, 0, 0), greaterThanOrEqualTo(200L));
	}

	@Test
	void shareOfMoreUrgentRequestsFollowsWhatIsAsked() {
		UrgencyMix mix = new UrgencyMix();
		for (int i = 0; i < 100; i++) {
			mix.record(i % 2 * 2, 1_000);
		}
		assertThat(mix.shareMoreUrgentThan(2, 1_000), closeTo(0.5, 0.03));
		assertThat(mix.shareLessUrgentThan(0, 1_000), closeTo(0.5, 0.03));
		assertThat(mix.shareMoreUrgentThan(0, 1_000), is(0.0));
		assertThat(mix.shareMoreUrgentThan(2, 20_000), lessThan(0.01));
		mix.record(-5, 20_000);
		mix.record(99, 20_000);
		assertThat(mix.shareMoreUrgentThan(99, 20_000), lessThan(1.0));
	}

}
