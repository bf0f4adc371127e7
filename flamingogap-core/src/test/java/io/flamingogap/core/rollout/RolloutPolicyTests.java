package io.flamingogap.core.rollout;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.manifest.Rollout;
import io.flamingogap.core.node.NodeId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link RolloutPolicy}.
 */
class RolloutPolicyTests {

	private static final long START_SECONDS = 1_000;

	private static final long LENGTH_SECONDS = 600;

	private static final Rollout ROLLOUT = new Rollout("assistant", "v2", List.of(), START_SECONDS,
			START_SECONDS + LENGTH_SECONDS);

	private static final NodeId NODE = new NodeId("entry-0", 1);

	private final EvidenceTable evidence = new EvidenceTable();

	private void count(Arm arm, String route, long afterSeconds, int requests, int failures, int slow) {
		int period = RolloutPolicy.period(ROLLOUT, millis(afterSeconds));
		EvidenceKey key = new EvidenceKey(RolloutKey.of(ROLLOUT), NODE, arm, route, period);
		for (int i = 0; i < requests; i++) {
			this.evidence.count(key, i < failures, i >= requests - slow);
		}
	}

	private static long millis(long afterSeconds) {
		return (START_SECONDS + afterSeconds) * 1_000;
	}

	private RolloutDecision decide(long afterSeconds) {
		return RolloutPolicy.decide(ROLLOUT, this.evidence, null, millis(afterSeconds));
	}

	private Optional<String> regression() {
		return RolloutPolicy.findRegression(ROLLOUT, this.evidence, millis(LENGTH_SECONDS / 2));
	}

	@Nested
	class Share {

		@Test
		void isZeroBeforeTheStart() {
			assertThat(decide(-1).sharePermille(), is(0));
		}

		@Test
		void isAtMostOnePercentWithoutEvidence() {
			assertThat(decide(LENGTH_SECONDS - 1).sharePermille(), lessThanOrEqualTo(10));
		}

		@Test
		void isAllWithEvidenceBeforeTheDeadline() {
			count(Arm.CURRENT, "chat", 10, 20_000, 100, 2_000);
			count(Arm.CANDIDATE, "chat", 10, 20_000, 100, 2_000);
			RolloutDecision decision = decide(LENGTH_SECONDS - 1);
			assertThat(decision.phase(), is(RolloutPhase.DONE));
			assertThat(decision.sharePermille(), is(RolloutDecision.ALL_PERMILLE));
		}

		@Test
		void staysSmallBeforeItsScheduleWhateverTheEvidence() {
			count(Arm.CURRENT, "chat", 1, 20_000, 100, 2_000);
			count(Arm.CANDIDATE, "chat", 1, 20_000, 100, 2_000);
			assertThat(decide(1).sharePermille(), is(RolloutPolicy.EXPLORATION_PERMILLE));
		}

		@Test
		void staysSmallPastTheDeadlineAndIsReportedLate() {
			RolloutDecision decision = decide(LENGTH_SECONDS + 1);
			assertThat(decision.phase(), is(RolloutPhase.LATE));
			assertThat(decision.sharePermille(), is(RolloutPolicy.EXPLORATION_PERMILLE));
		}

		@Test
		void isZeroOnceTakenBack() {
			TakeBack takeBack = new TakeBack(RolloutKey.of(ROLLOUT), "ops", "asked", 1);
			RolloutDecision decision = RolloutPolicy.decide(ROLLOUT, RolloutPolicyTests.this.evidence, takeBack,
					millis(LENGTH_SECONDS));
			assertThat(decision.phase(), is(RolloutPhase.TAKEN_BACK));
			assertThat(decision.sharePermille(), is(0));
		}

	}

	@Nested
	class Regression {

		@Test
		void isFoundWhenTheCandidateFailsAtOnce() {
			count(Arm.CURRENT, "chat", 10, 500, 2, 50);
			count(Arm.CANDIDATE, "chat", 10, 5, 5, 0);
			assertThat(regression().orElse(""), containsString("failures"));
		}

		@Test
		void isFoundOnOneRoute() {
			count(Arm.CURRENT, "chat", 10, 5_000, 0, 0);
			count(Arm.CANDIDATE, "chat", 10, 5_000, 0, 0);
			count(Arm.CURRENT, "bookings", 10, 100, 0, 0);
			count(Arm.CANDIDATE, "bookings", 10, 10, 6, 0);
			assertThat(regression().orElse(""), containsString("on bookings"));
		}

		@Test
		void isFoundLateInARollout() {
			count(Arm.CURRENT, "chat", 10, 20_000, 100, 2_000);
			count(Arm.CANDIDATE, "chat", 10, 20_000, 100, 2_000);
			count(Arm.CURRENT, "chat", 500, 500, 2, 50);
			count(Arm.CANDIDATE, "chat", 500, 100, 20, 10);
			assertThat(regression().orElse(""), containsString("failures"));
		}

		@Test
		void isFoundWhenTheCandidateIsSlow() {
			count(Arm.CURRENT, "chat", 10, 1_000, 0, 100);
			count(Arm.CANDIDATE, "chat", 10, 60, 0, 40);
			assertThat(regression().orElse(""), containsString("slow"));
		}

		@Test
		void isNotFoundWhenBothGetWorseWhileTheCandidateHasMoreTraffic() {
			count(Arm.CURRENT, "chat", 10, 20_000, 100, 2_000);
			count(Arm.CANDIDATE, "chat", 10, 100, 0, 10);
			count(Arm.CURRENT, "chat", 300, 1_000, 50, 300);
			count(Arm.CANDIDATE, "chat", 300, 20_000, 1_000, 6_000);
			assertThat(regression().isPresent(), is(false));
		}

		@Test
		void isFoundAtTheDeadlineByWeakerEvidence() {
			count(Arm.CURRENT, "chat", 10, 20_000, 200, 2_000);
			count(Arm.CANDIDATE, "chat", 10, 1_000, 25, 100);
			assertThat(regression().isPresent(), is(false));
			assertThat(RolloutPolicy.findRegression(ROLLOUT, RolloutPolicyTests.this.evidence, millis(LENGTH_SECONDS))
				.isPresent(), is(true));
		}

		@Test
		void isNotFoundWhenAllTrafficHasMoved() {
			count(Arm.CURRENT, "chat", 10, 20_000, 100, 2_000);
			count(Arm.CANDIDATE, "chat", 10, 20_000, 100, 2_000);
			count(Arm.CANDIDATE, "chat", 500, 20_000, 100, 2_000);
			assertThat(regression().isPresent(), is(false));
		}

		@Test
		void isNotFoundWhenBothVersionsAreEquallyBad() {
			count(Arm.CURRENT, "chat", 10, 1_000, 300, 300);
			count(Arm.CANDIDATE, "chat", 10, 100, 30, 30);
			assertThat(regression().isPresent(), is(false));
		}

	}

}
