package io.flamingogap.core.rollout;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link TimedCanary}.
 */
class TimedCanaryTests {

	private final TimedCanary canary = new TimedCanary(0.08);

	@Test
	void versionThatFailsOftenIsFoundAfterAFewRequests() {
		this.canary.add(Arm.CURRENT, "r", new Tally(200, 1, 20));
		this.canary.add(Arm.CANDIDATE, "r", new Tally(12, 6, 1));
		assertThat(this.canary.findRegression().isPresent(), is(true));
	}

	@Test
	void versionThatIsBadOnOneRouteIsFound() {
		this.canary.add(Arm.CURRENT, "r1", new Tally(400, 2, 40));
		this.canary.add(Arm.CANDIDATE, "r1", new Tally(60, 0, 6));
		this.canary.add(Arm.CURRENT, "r2", new Tally(100, 1, 10));
		this.canary.add(Arm.CANDIDATE, "r2", new Tally(12, 1, 11));
		assertThat(this.canary.findRegression().isPresent(), is(true));
	}

	@Test
	void goodVersionIsNotCalledBad() {
		this.canary.add(Arm.CURRENT, "r", new Tally(200, 2, 20));
		this.canary.add(Arm.CANDIDATE, "r", new Tally(20, 0, 2));
		assertThat(this.canary.findRegression().isPresent(), is(false));
	}

	@Test
	void candidateGetsAllRequestsBeforeTheRolloutMayComplete() {
		assertThat(this.canary.candidateShare(0.1), is(0.08));
		assertThat(this.canary.candidateShare(0.7), is(1.0));
		assertThat(this.canary.mayComplete(0.7), is(false));
		assertThat(this.canary.mayComplete(0.9), is(true));
	}

}
