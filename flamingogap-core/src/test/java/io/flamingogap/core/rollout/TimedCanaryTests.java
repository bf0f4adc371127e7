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

	// A rollout was completed although two in five answers of the new version were slow,
	// because the counts did not prove a regression yet.
	@Test
	void versionThatIsProbablyWorseGetsNoMoreRequestsAndIsNotCompleted() {
		this.canary.add(Arm.CURRENT, "r", new Tally(623, 0, 68));
		this.canary.add(Arm.CANDIDATE, "r", new Tally(67, 0, 26));
		assertThat(this.canary.candidateShare(0.6), is(0.08));
		assertThat(this.canary.candidateShare(0.7), is(0.08));
		assertThat(this.canary.mayComplete(0.9), is(false));
		assertThat(this.canary.findMissedDeadline(0.94, true).isPresent(), is(false));
		assertThat(this.canary.findMissedDeadline(0.95, true).isPresent(), is(true));
	}

	@Test
	void versionWithoutServersIsRevertedAtTheDeadline() {
		assertThat(this.canary.findMissedDeadline(0.95, false).isPresent(), is(true));
		assertThat(this.canary.findMissedDeadline(0.95, true).isPresent(), is(false));
	}

	@Test
	void goodVersionCompletes() {
		this.canary.add(Arm.CURRENT, "r1", new Tally(300, 3, 34));
		this.canary.add(Arm.CURRENT, "r2", new Tally(323, 0, 30));
		this.canary.add(Arm.CANDIDATE, "r1", new Tally(40, 1, 5));
		this.canary.add(Arm.CANDIDATE, "r2", new Tally(28, 0, 4));
		assertThat(this.canary.candidateShare(0.7), is(1.0));
		assertThat(this.canary.mayComplete(0.9), is(true));
	}

	@Test
	void candidateGetsAllRequestsBeforeTheRolloutMayComplete() {
		assertThat(this.canary.candidateShare(0.1), is(0.08));
		assertThat(this.canary.candidateShare(0.7), is(1.0));
		assertThat(this.canary.mayComplete(0.7), is(false));
		assertThat(this.canary.mayComplete(0.9), is(true));
	}

}
