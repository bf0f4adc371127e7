package io.flamingogap.gateway.cloud;

import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link UsageReportSchedule}: when the report of a window is due, and how long
 * it waits for nodes that don't report.
 */
class UsageReportScheduleTests {

	private static final long WINDOW_MILLIS = 5_000;

	private static final long WINDOW = 1_000;

	private static final long END_MILLIS = (WINDOW + 1) * WINDOW_MILLIS;

	/** The users' limit for the time from the end of a window to its report. */
	private static final long DUE_MILLIS = 10_000;

	private long oldestReportAgeMillis;

	private final UsageReportSchedule schedule = new UsageReportSchedule(WINDOW_MILLIS,
			(window) -> Map.of("growers", window), (millis) -> this.oldestReportAgeMillis <= millis);

	private Optional<Long> dueWindowAt(long sinceEndMillis) {
		return this.schedule.nextReport(END_MILLIS + sinceEndMillis).map(UsageReportSchedule.Report::window);
	}

	private void reportEarlierWindows() {
		this.schedule.takeOver(Optional.of(new UsageReportSchedule.Report(WINDOW - 1, Map.of())), END_MILLIS);
		this.schedule.recordSent();
	}

	@Test
	void reportsWindowOnceAllNodesReportedAfterItsEnd() {
		reportEarlierWindows();
		this.oldestReportAgeMillis = 500;
		assertThat(dueWindowAt(2_800), is(Optional.empty()));
		assertThat(dueWindowAt(3_300), is(Optional.of(WINDOW)));
	}

	@Test
	void waitsForNodesThatDoNotReport() {
		reportEarlierWindows();
		this.oldestReportAgeMillis = 6_000;
		assertThat(dueWindowAt(4_900), is(Optional.empty()));
		assertThat(dueWindowAt(6_000), is(Optional.empty()));
	}

	@Test
	void reportsWindowInTimeIfANodeNeverReportsAgain() {
		reportEarlierWindows();
		this.oldestReportAgeMillis = 60_000;
		assertThat(dueWindowAt(DUE_MILLIS - 2_000), is(Optional.of(WINDOW)));
	}

}
