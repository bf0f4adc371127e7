package io.flamingogap.core.attempt;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.serving.RequestKind;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.core.serving.WeightedService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Unit tests for {@link Attempt}: when another server may be tried, and which failure is
 * reported.
 */
class AttemptTests {

	private static RouteRule route(RequestKind kind, int maxExecutions, boolean resumable) {
		return new RouteRule("r", "h", "/", kind, 1_000, 100, 0, List.of(new WeightedService("s", 1)), maxExecutions,
				false, resumable, false);
	}

	@Property(tries = 10_000, seed = "20261204")
	void refusalIsTrueAndNothingRunsTwice(@ForAll @Size(max = 8) List<@IntRange(max = 5) Integer> outcomes) {
		Attempt attempt = new Attempt(route(RequestKind.AT_MOST_ONCE, 3, false), 5_000, 0);
		int possibleExecutions = 0;
		for (int i = 0; i < outcomes.size() && attempt.mayTryAnotherServer(1); i++) {
			DispatchOutcome outcome = DispatchOutcome.values()[outcomes.get(i)];
			attempt.recordDispatch("server-" + i);
			attempt.recordOutcome(outcome);
			possibleExecutions += outcome.mayHaveRun() ? 1 : 0;
		}
		assertThat(possibleExecutions, lessThanOrEqualTo(1));
		assertThat(attempt.failure("end", 1).execution() == Execution.NOT_RUN, is(possibleExecutions == 0));
	}

	@Nested
	class AtMostOnce {

		private final Attempt attempt = new Attempt(route(RequestKind.AT_MOST_ONCE, 3, false), 5_000, 0);

		@Test
		void isTriedOnAnotherServerIfNoneCanHaveExecutedIt() {
			this.attempt.recordDispatch("a");
			this.attempt.recordOutcome(DispatchOutcome.REJECTED);
			assertThat(this.attempt.mayTryAnotherServer(10), is(true));
			assertThat(this.attempt.failure("full", 10).execution(), is(Execution.NOT_RUN));
		}

		@Test
		void isNotTriedAgainIfAServerMayHaveExecutedIt() {
			this.attempt.recordDispatch("a");
			this.attempt.recordOutcome(DispatchOutcome.BROKEN);
			assertThat(this.attempt.mayTryAnotherServer(10), is(false));
			assertThat(this.attempt.failure("reset", 10).type(), is(ProblemType.OUTCOME_UNKNOWN));
		}

		@Test
		void endsAtDeadlineOfRoute() {
			assertThat(this.attempt.remainingMillis(400), is(600L));
			assertThat(this.attempt.mayTryAnotherServer(1_000), is(false));
			this.attempt.recordDispatch("a");
			assertThat(this.attempt.failure("late", 1_000).type(), is(ProblemType.DEADLINE_EXCEEDED));
		}

	}

	@Nested
	class Repeatable {

		@Test
		void isTriedOnAsManyServersAsRouteAllows() {
			Attempt attempt = new Attempt(route(RequestKind.IDEMPOTENT, 2, false), 5_000, 0);
			attempt.recordDispatch("a");
			attempt.recordOutcome(DispatchOutcome.BROKEN);
			assertThat(attempt.mayTryAnotherServer(10), is(true));
			attempt.recordDispatch("b");
			attempt.recordOutcome(DispatchOutcome.SILENT);
			assertThat(attempt.mayTryAnotherServer(10), is(false));
		}

		@Test
		void dispatchIsNoRetryUntilAServerIsReached() {
			Attempt attempt = new Attempt(route(RequestKind.STREAM, 2, true), 5_000, 0);
			attempt.recordDispatch("a");
			attempt.recordOutcome(DispatchOutcome.NOT_SENT);
			assertThat(attempt.isNextDispatchRetry(), is(false));
			attempt.recordDispatch("b");
			attempt.recordOutcome(DispatchOutcome.REJECTED);
			assertThat(attempt.isNextDispatchRetry(), is(true));
		}

	}

}
