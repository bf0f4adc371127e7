package io.flamingogap.gateway.cloud;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.flamingogap.gateway.cloud.UsageHistory.Certainty;
import io.flamingogap.gateway.cloud.UsageReportSchedule.Report;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link UsageReportSchedule}: when the report of a window is due, and how long
 * it waits for nodes that don't report, and what a new holder repeats and leaves out.
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

	private UsageReportSchedule.TakeOver takeOver(Certainty certainty, Optional<Report> stored,
			OptionalLong settledWindow, long sinceEndMillis) {
		UsageReportSchedule.TakeOver plan = this.schedule.planTakeOver(
				new UsageHistory(stored, settledWindow, certainty), END_MILLIS - WINDOW_MILLIS,
				END_MILLIS + sinceEndMillis);
		this.schedule.takeOver(plan);
		return plan;
	}

	private static Optional<Report> report(long window, long requests) {
		return Optional.of(new Report(window, Map.of("growers", requests)));
	}

	private void reportEarlierWindows() {
		takeOver(Certainty.CERTAIN, Optional.of(new Report(WINDOW - 1, Map.of())), OptionalLong.empty(), 0);
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

	@Test
	void reportOfThePreviousHolderIsRepeatedUnchanged() {
		takeOver(Certainty.CERTAIN, report(WINDOW, 7), OptionalLong.of(WINDOW - 1), 4_000);
		assertThat(this.schedule.pendingReport(), is(report(WINDOW, 7)));
	}

	@Test
	void reportStaysPendingWhenItsHolderClaimsAgain() {
		takeOver(Certainty.CERTAIN, report(WINDOW, 7), OptionalLong.empty(), 4_000);
		takeOver(Certainty.CERTAIN, report(WINDOW, 7), OptionalLong.empty(), 5_000);
		assertThat(this.schedule.pendingReport(), is(report(WINDOW, 7)));
	}

	// A report that had been sent was lost by the store, and the window was counted anew.
	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.EXCLUDE, names = { "CERTAIN", "NO_CLAIM" })
	void windowsThatEndedBeforeAnUncertainClaimAreLeftOut(Certainty certainty) {
		UsageReportSchedule.TakeOver plan = takeOver(certainty, report(WINDOW - 2, 7), OptionalLong.empty(), 1_000);
		assertThat(plan.knownSettledWindow(), is(OptionalLong.of(WINDOW)));
		assertThat(this.schedule.pendingReport(), is(Optional.empty()));
		assertThat(dueWindowAt(4_000), is(Optional.empty()));
		assertThat(dueWindowAt(WINDOW_MILLIS + 4_000), is(Optional.of(WINDOW + 1)));
	}

	// An older report in a store that had returned replaced the one that had been sent.
	@Test
	void ownReportThatTheStoreLostIsRepeatedUnchanged() {
		this.schedule.recordStored(report(WINDOW, 8).get());
		takeOver(Certainty.EARLIER_TIMELINE, report(WINDOW - 1, 7), OptionalLong.of(WINDOW - 1), 4_000);
		assertThat(this.schedule.pendingReport(), is(report(WINDOW, 8)));
		this.schedule.recordSent();
		assertThat(dueWindowAt(4_000), is(Optional.empty()));
	}

	@Test
	void ownReportIsNotReplacedByAnOlderOne() {
		this.schedule.recordStored(report(WINDOW, 8).get());
		takeOver(Certainty.CERTAIN, report(WINDOW - 1, 7), OptionalLong.empty(), 4_000);
		assertThat(this.schedule.pendingReport(), is(report(WINDOW, 8)));
	}

	@ParameterizedTest
	@EnumSource(Certainty.class)
	void ownReportIsDroppedIfAnotherHolderHasSettledItsWindow(Certainty certainty) {
		this.schedule.recordStored(report(WINDOW, 8).get());
		takeOver(certainty, report(WINDOW - 1, 7), OptionalLong.of(WINDOW), 4_000);
		assertThat(this.schedule.pendingReport(), is(Optional.empty()));
		assertThat(dueWindowAt(4_000), is(Optional.empty()));
	}

	@ParameterizedTest
	@EnumSource(Certainty.class)
	void windowOfWhichTwoReportsWereStoredIsLeftOut(Certainty certainty) {
		this.schedule.recordStored(report(WINDOW, 8).get());
		UsageReportSchedule.TakeOver plan = takeOver(certainty, report(WINDOW, 7), OptionalLong.empty(), 4_000);
		assertThat(plan.knownSettledWindow(), is(OptionalLong.of(WINDOW)));
		assertThat(this.schedule.pendingReport(), is(Optional.empty()));
		assertThat(dueWindowAt(4_000), is(Optional.empty()));
	}

	@Test
	void storedReportOfASettledWindowIsNotSent() {
		takeOver(Certainty.CERTAIN, report(WINDOW, 7), OptionalLong.of(WINDOW), 4_000);
		assertThat(this.schedule.pendingReport(), is(Optional.empty()));
		assertThat(dueWindowAt(4_000), is(Optional.empty()));
	}

	// No holder reported a window any more after a claim by a node whose clock was ahead.
	@Test
	void settledWindowThatHasNotEndedDoesNotStopTheReports() {
		takeOver(Certainty.CERTAIN, report(WINDOW - 1, 7), OptionalLong.of(WINDOW + 720), 4_000);
		assertThat(dueWindowAt(2 * WINDOW_MILLIS + 4_000).isPresent(), is(true));
	}

	@Test
	void firstHolderLeavesOutWindowsThatEndedBeforeItHeardFromTheStore() {
		UsageReportSchedule.TakeOver plan = takeOver(Certainty.NO_CLAIM, Optional.empty(), OptionalLong.empty(), 0);
		assertThat(plan.knownSettledWindow(), is(OptionalLong.of(WINDOW - 1)));
		assertThat(dueWindowAt(4_000), is(Optional.of(WINDOW)));
	}

	// Otherwise a window is counted anew whose report the cloud has accepted.
	@Test
	void windowThatThisNodeReportedIsNotCountedAgainThoughTheStoreLostItsReport() {
		this.schedule.recordStored(report(WINDOW, 8).get());
		this.schedule.recordSent();
		takeOver(Certainty.CERTAIN, report(WINDOW - 1, 7), OptionalLong.empty(), 4_000);
		assertThat(this.schedule.pendingReport(), is(Optional.empty()));
		assertThat(dueWindowAt(4_000), is(Optional.empty()));
	}

	// Otherwise a report is sent long after it was due.
	@ParameterizedTest
	@EnumSource(Certainty.class)
	void ownReportThatIsTooLateIsDropped(Certainty certainty) {
		this.schedule.recordStored(report(WINDOW - 10, 8).get());
		takeOver(certainty, Optional.empty(), OptionalLong.empty(), 4_000);
		assertThat(this.schedule.pendingReport(), is(Optional.empty()));
	}

	// Otherwise a window is lost whose report both the store and its holder still have.
	@ParameterizedTest
	@EnumSource(Certainty.class)
	void ownReportThatTheStoreHasIsRepeated(Certainty certainty) {
		this.schedule.recordStored(report(WINDOW, 8).get());
		takeOver(certainty, report(WINDOW, 8), OptionalLong.empty(), 4_000);
		assertThat(this.schedule.pendingReport(), is(report(WINDOW, 8)));
	}

	// Otherwise the report of a later holder isn't sent because of an older one of this
	// node.
	@Test
	void laterReportOfAnotherHolderTakesThePlaceOfTheOwnOne() {
		this.schedule.recordStored(report(WINDOW, 8).get());
		takeOver(Certainty.CERTAIN, report(WINDOW + 1, 7), OptionalLong.empty(), WINDOW_MILLIS + 4_000);
		assertThat(this.schedule.pendingReport(), is(report(WINDOW + 1, 7)));
	}

	// Otherwise an old report is sent, or the windows between it and the last one are
	// skipped.
	@Test
	void storedReportThatIsTooLateIsNotSentAndTheNextWindowsAre() {
		takeOver(Certainty.CERTAIN, report(WINDOW - 10, 7), OptionalLong.empty(), 4_000);
		assertThat(this.schedule.pendingReport(), is(Optional.empty()));
		assertThat(dueWindowAt(4_000), is(Optional.of(WINDOW - 3)));
	}

	// Otherwise a claim settles windows that no record shows as reported or left out.
	@Test
	void claimSettlesNothingIfAReportIsPendingAndNoneIsSettled() {
		assertThat(takeOver(Certainty.CERTAIN, report(WINDOW, 7), OptionalLong.empty(), 4_000).knownSettledWindow(),
				is(OptionalLong.empty()));
	}

	// Otherwise the log names all windows since the beginning of time as left out.
	@Test
	void leftOutWindowsBeginWithTheLastOneThatEndedIfNoneIsKnown() {
		assertThat(takeOver(Certainty.EARLIER_TIMELINE, Optional.empty(), OptionalLong.empty(), 1_000)
			.firstLeftOutWindow(), is(WINDOW));
	}

	@Test
	void nothingIsReportedOrSettledWithoutWindows() {
		UsageReportSchedule withoutWindows = new UsageReportSchedule(0, (window) -> Map.of(), (millis) -> true);
		UsageReportSchedule.TakeOver plan = withoutWindows
			.planTakeOver(new UsageHistory(report(WINDOW, 7), OptionalLong.empty(), Certainty.LATE_REPORT), 0, 1);
		withoutWindows.takeOver(plan);
		assertThat(plan.knownSettledWindow(), is(OptionalLong.empty()));
		assertThat(withoutWindows.pendingReport(), is(Optional.empty()));
	}

}
