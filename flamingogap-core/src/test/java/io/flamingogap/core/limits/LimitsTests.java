package io.flamingogap.core.limits;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.manifest.Account;
import io.flamingogap.core.text.Digests;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link RetryBudget} and {@link ConcurrencyLimiter}.
 */
class LimitsTests {

	@Test
	void retriesStayWithinTheirShareOfFirstTries() {
		RetryBudget budget = new RetryBudget(10, 20);
		int retries = 0;
		for (int i = 0; i < 10_000; i++) {
			budget.recordFirstTry();
			for (int attempt = 0; attempt < 3; attempt++) {
				retries += budget.trySpend() ? 1 : 0;
			}
		}
		assertThat(retries, lessThanOrEqualTo(1_001));
	}

	@Test
	void earnedRetriesAreCapped() {
		RetryBudget budget = new RetryBudget(10, 20);
		for (int i = 0; i < 100_000; i++) {
			budget.recordFirstTry();
		}
		int retries = 0;
		while (budget.trySpend()) {
			retries++;
		}
		assertThat(retries, is(20));
	}

	@Test
	void openRequestsAreLimitedByAccountAndInTotalAndRefusalsAreNotRun() {
		ConcurrencyLimiter limiter = new ConcurrencyLimiter(3);
		Account small = new Account("small", Digests.sha256("s"), 5, 1);
		Account large = new Account("large", Digests.sha256("l"), 5, 10);
		assertThat(limiter.acquireOrRefuse(small).isPresent(), is(false));
		assertThat(limiter.acquireOrRefuse(small).orElseThrow().type(), is(ProblemType.TOO_MANY_REQUESTS));
		limiter.acquireOrRefuse(large);
		limiter.acquireOrRefuse(large);
		assertThat(limiter.acquireOrRefuse(large).orElseThrow().type(), is(ProblemType.OVERLOADED));
		assertThat(limiter.acquireOrRefuse(large).orElseThrow().execution(), is(Execution.NOT_RUN));
		limiter.release(small);
		assertThat(limiter.acquireOrRefuse(small).isPresent(), is(false));
	}

}
