package io.flamingogap.core.limits;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link WindowedRetryBudget}.
 */
class WindowedRetryBudgetTests {

	@Test
	void requestsEarnTheirShareOfRetries() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 10_000);
		for (int i = 0; i < 10; i++) {
			budget.recordRequest(100);
		}
		assertThat(budget.trySpend(0, 200), is(true));
		assertThat(budget.trySpend(0, 200), is(true));
		assertThat(budget.trySpend(0, 200), is(false));
	}

	@Test
	void earnedRetriesExpireWithTheWindow() {
		WindowedRetryBudget budget = new WindowedRetryBudget(1, 10_000);
		budget.recordRequest(0);
		assertThat(budget.trySpend(0, 10_100), is(false));
	}

	@Test
	void spentRetriesExpireWithTheWindow() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0, 10_000);
		assertThat(budget.trySpend(1, 0), is(true));
		assertThat(budget.trySpend(1, 9_000), is(false));
		assertThat(budget.trySpend(1, 10_100), is(true));
	}

	@Property(tries = 2_000, seed = "20261204")
	void nodesTogetherKeepTheBound(@ForAll @Size(max = 200) List<@IntRange(max = 8) Integer> events) {
		int nodes = 3;
		WindowedRetryBudget[] budgets = { new WindowedRetryBudget(0.2, 10_000), new WindowedRetryBudget(0.2, 10_000),
				new WindowedRetryBudget(0.2, 10_000) };
		int requests = 0;
		int retries = 0;
		for (int event : events) {
			if (event < nodes) {
				budgets[event].recordRequest(50);
				requests++;
			}
			else if (budgets[event % nodes].trySpend(6.0 / nodes, 50)) {
				retries++;
			}
		}
		assertThat((double) retries, lessThanOrEqualTo(0.2 * requests + 6));
	}

}
