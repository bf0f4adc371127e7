package io.flamingogap.gateway.cloud;

import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * When windows of usage are reported.
 */
class UsageReportScheduleTests {

	private static final long WINDOW_MILLIS = 5_000;

	private static final long WINDOW = 1_000;

	private static final long END_MILLIS = (WINDOW + 1) * WINDOW_MILLIS;

	/** The bound of the users' sheets for a report after the end of its window. */
	private static final long DUE_MILLIS = 10_000;

	private long heardMillisAgo;

	private final UsageReportSchedule duty = new UsageReportSchedule(WINDOW_MILLIS,
			(window) -> Map.of("growers", window), (millis) -> this.heardMillisAgo <= millis);

	private Optional<Long> dueAt(long sinceEndMillis) {
		return this.duty.nextDue(END_MILLIS + sinceEndMillis).map(UsageReportSchedule.Report::window);
	}

	private void reportEarlierWindows() {
		this.duty.takeOver(Optional.of(new UsageReportSchedule.Report(WINDOW - 1, Map.of())), END_MILLIS);
		this.duty.recordSent();
	}

	@Test
	void windowIsReportedOnceAllNodesWereHeardAfterIt() {
		reportEarlierWindows();
		this.heardMillisAgo = 500;
		assertThat(dueAt(2_800), is(Optional.empty()));
		assertThat(dueAt(3_300), is(Optional.of(WINDOW)));
	}

	@Test
	void nodeThatIsNotHeardIsWaitedFor() {
		reportEarlierWindows();
		this.heardMillisAgo = 6_000;
		assertThat(dueAt(4_900), is(Optional.empty()));
		assertThat(dueAt(6_000), is(Optional.empty()));
	}

	@Test
	void windowIsReportedInTimeAlsoIfANodeIsNeverHeardAgain() {
		reportEarlierWindows();
		this.heardMillisAgo = 60_000;
		assertThat(dueAt(DUE_MILLIS - 2_000), is(Optional.of(WINDOW)));
	}

}
