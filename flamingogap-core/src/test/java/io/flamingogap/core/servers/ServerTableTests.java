package io.flamingogap.core.servers;

import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ServerTable}.
 */
class ServerTableTests {

	private static final long PAST_MILLIS = 0;

	private final ServerTable table = new ServerTable();

	private static ServerRegistration registration(String id, boolean draining, long startedAtMillis) {
		return registration(id, draining, startedAtMillis, 1);
	}

	private static ServerRegistration registration(String id, boolean draining, long startedAtMillis, long sequence) {
		return new ServerRegistration(id, "engine", Address.parse("10.0.0.1:80"), "z", "v1", 8, draining, false,
				startedAtMillis, sequence);
	}

	private boolean takesRequests(String id) {
		return this.table.find(id).map(KnownServer::takesRequests).orElse(false);
	}

	@Nested
	class Registrations {

		@Test
		void olderRecordsAreIgnored() {
			ServerTableTests.this.table.register(registration("a", true, 1), 5);
			assertThat(ServerTableTests.this.table.register(registration("a", false, 1), 4),
					is(RegistrationOutcome.KNOWN));
			assertThat(ServerTableTests.this.table.find("a").get().takesRequests(), is(false));
		}

		@Test
		void restartUnderTheSameIdResetsTheLoad() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.find("a").get().load().recordSent(100);
			ServerTableTests.this.table.register(registration("a", false, 2), 2);
			assertThat(ServerTableTests.this.table.find("a").get().load().openRequests(), is(0));
			assertThat(ServerTableTests.this.table.ofService("engine"), hasSize(1));
		}

		@Test
		void drainingServerTakesNoRequests() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			KnownServer server = ServerTableTests.this.table.find("a").get();
			ServerTableTests.this.table.register(registration("a", true, 1), 2);
			assertThat(server.takesRequests(), is(false));
		}

	}

	@Nested
	class Departures {

		// Requests reached a draining server after a record that it had written before
		// its
		// departure was stored late.
		@Test
		void recordThatWasWrittenBeforeTheDepartureDoesNotEndIt() {
			ServerTableTests.this.table.register(registration("a", false, 1, 7), 1);
			ServerTableTests.this.table.register(registration("a", true, 1, 9), 2);
			ServerTableTests.this.table.register(registration("a", false, 1, 8), 3);
			assertThat(takesRequests("a"), is(false));
		}

		// Requests reached a server that had left after a record of the same run was
		// stored
		// late.
		@Test
		void lateRecordDoesNotBringBackAServerThatHasLeft() {
			ServerTableTests.this.table.register(registration("a", false, 1, 7), 1);
			ServerTableTests.this.table.unregister("a", 2, PAST_MILLIS, 100);
			ServerTableTests.this.table.register(registration("a", false, 1, 7), 3);
			assertThat(takesRequests("a"), is(false));
		}

		// Requests reached the address of a server's earlier run after a record of that
		// run
		// was stored late.
		@Test
		void recordOfAnEarlierRunDoesNotReplaceALaterOne() {
			ServerTableTests.this.table.register(registration("a", false, 20, 1), 1);
			ServerTableTests.this.table.register(registration("a", true, 20, 2), 2);
			ServerTableTests.this.table.register(registration("a", false, 10, 9), 3);
			assertThat(takesRequests("a"), is(false));
		}

		// Requests reached a server that had said only in its answers that it was
		// leaving.
		@Test
		void departureLearntFromAnAnswerIsNotEndedByRecordsOfTheSameRun() {
			ServerTableTests.this.table.register(registration("a", false, 1, 7), 1);
			assertThat(ServerTableTests.this.table.depart("a", 1), is(true));
			assertThat(ServerTableTests.this.table.depart("a", 1), is(false));
			assertThat(takesRequests("a"), is(false));
			ServerTableTests.this.table.register(registration("a", false, 1, 8), 2);
			assertThat(takesRequests("a"), is(false));
			ServerTableTests.this.table.unregister("a", 3, 2_600, 100);
			ServerTableTests.this.table.register(registration("a", false, 1, 9), 4);
			assertThat(takesRequests("a"), is(false));
		}

		@Test
		void answerOfAnEarlierRunSaysNothingOfALaterOne() {
			ServerTableTests.this.table.register(registration("a", false, 1, 7), 1);
			ServerTableTests.this.table.register(registration("a", false, 2, 1), 2);
			assertThat(ServerTableTests.this.table.depart("a", 1), is(false));
			assertThat(takesRequests("a"), is(true));
		}

		@Test
		void departureIsKeptWhileTheServerIsNotRegistered() {
			ServerTableTests.this.table.register(registration("a", false, 1, 7), 1);
			ServerTableTests.this.table.unregister("a", 2, PAST_MILLIS, 100);
			assertThat(ServerTableTests.this.table.depart("a", 1), is(true));
			ServerTableTests.this.table.register(registration("a", false, 1, 8), 3);
			assertThat(takesRequests("a"), is(false));
		}

		@Test
		void laterRunOfADepartedServerTakesRequests() {
			ServerTableTests.this.table.register(registration("a", true, 10, 9), 1);
			ServerTableTests.this.table.unregister("a", 2, PAST_MILLIS, 100);
			ServerTableTests.this.table.register(registration("a", false, 20, 1), 3);
			assertThat(takesRequests("a"), is(true));
		}

		@Test
		void runWhoseRegistrationExpiredRegistersAgain() {
			ServerTableTests.this.table.register(registration("a", false, 10, 9), 1);
			ServerTableTests.this.table.unregister("a", 2, PAST_MILLIS, 100);
			ServerTableTests.this.table.register(registration("a", false, 10, 10), 3);
			assertThat(takesRequests("a"), is(true));
		}

	}

	@Nested
	class Pauses {

		private boolean mayBeSentRequests(long nowMillis) {
			return ServerTableTests.this.table.find("a")
				.map((server) -> server.mayBeSentRequests(nowMillis))
				.orElse(false);
		}

		@Test
		void pausedServerIsSentNothingUntilTheEnd() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.pause(registration("a", false, 1), 3_000, 100);
			assertThat(takesRequests("a"), is(true));
			assertThat(mayBeSentRequests(3_099), is(false));
			assertThat(mayBeSentRequests(3_100), is(true));
		}

		@Test
		void laterPauseReplacesAnEarlierOne() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.pause(registration("a", false, 1), 9_000, 100);
			ServerTableTests.this.table.pause(registration("a", false, 1), 1_000, 200);
			assertThat(mayBeSentRequests(1_200), is(true));
		}

		@Test
		void pauseOutlivesTheRegistrationButNotTheRun() {
			ServerTableTests.this.table.register(registration("a", false, 1, 7), 1);
			ServerTableTests.this.table.pause(registration("a", false, 1, 7), 9_000, 100);
			ServerTableTests.this.table.unregister("a", 2, PAST_MILLIS, 200);
			ServerTableTests.this.table.register(registration("a", false, 1, 8), 3);
			assertThat(mayBeSentRequests(300), is(false));
			ServerTableTests.this.table.register(registration("a", false, 2, 1), 4);
			assertThat(mayBeSentRequests(300), is(true));
		}

		// Otherwise a server that wants nothing is sent requests when the store returns.
		@Test
		void pauseOutlivesAReturnOfTheStore() {
			ServerTableTests.this.table.register(registration("a", false, 1), 50);
			ServerTableTests.this.table.pause(registration("a", false, 1), 9_000, 100);
			ServerTableTests.this.table.forgetOffsets();
			assertThat(mayBeSentRequests(300), is(false));
			ServerTableTests.this.table.register(registration("a", false, 1), 40);
			assertThat(mayBeSentRequests(300), is(false));
		}

	}

	@Nested
	class RegistrationEnds {

		@Test
		void endWithoutGracePeriodRemovesTheServerAtOnce() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			KnownServer server = ServerTableTests.this.table.find("a").get();
			ServerTableTests.this.table.unregister("a", 2, PAST_MILLIS, 100);
			assertThat(ServerTableTests.this.table.size(), is(0));
			assertThat(server.takesRequests(), is(false));
		}

		@Test
		void suspectServerIsKeptUntilItsGracePeriodPasses() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.unregister("a", 2, 2_600, 100);
			assertThat(ServerTableTests.this.table.expire(2_599), hasSize(0));
			assertThat(ServerTableTests.this.table.find("a").get().takesRequests(), is(true));
			assertThat(ServerTableTests.this.table.expire(2_600), hasSize(1));
			assertThat(ServerTableTests.this.table.size(), is(0));
		}

		// Requests reached a server that had left for as long as listings repeated that
		// its
		// registration had ended.
		@Test
		void secondReportOfTheEndDoesNotProlongTheGracePeriod() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.unregister("a", 2, 2_600, 100);
			ServerTableTests.this.table.retain(Set.of(), 9, 4_500, 2_000);
			assertThat(ServerTableTests.this.table.expire(2_600), hasSize(1));
		}

		@Test
		void serverThatRegistersAgainIsNoLongerSuspect() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.unregister("a", 2, 2_600, 100);
			ServerTableTests.this.table.register(registration("a", false, 1, 2), 3);
			assertThat(ServerTableTests.this.table.expire(9_000), hasSize(0));
			assertThat(ServerTableTests.this.table.find("a").get().isSuspect(), is(false));
		}

		@Test
		void drainingServerIsNotKeptAsSuspect() {
			ServerTableTests.this.table.register(registration("a", true, 1), 1);
			ServerTableTests.this.table.unregister("a", 2, 2_600, 100);
			assertThat(ServerTableTests.this.table.size(), is(0));
		}

		@Test
		void listingEndsOlderRegistrationsThatItDoesNotContain() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.register(registration("b", false, 1), 7);
			ServerTableTests.this.table.retain(Set.of("c"), 5, PAST_MILLIS, 100);
			assertThat(ServerTableTests.this.table.find("a").isPresent(), is(false));
			assertThat(ServerTableTests.this.table.find("b").isPresent(), is(true));
		}

		// Otherwise a server whose removal is the last record before a listing stays in
		// use.
		@Test
		void listingRightBehindTheRemovalEndsTheRegistration() {
			ServerTableTests.this.table.register(registration("a", false, 1), 3);
			ServerTableTests.this.table.retain(Set.of(), 5, PAST_MILLIS, 100);
			assertThat(ServerTableTests.this.table.size(), is(0));
		}

		// The first record after a listing was taken for an older one: a server that had
		// registered again was not used, or one that was leaving got requests.
		@Test
		void recordAtTheEndOfTheListingIsNewer() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.retain(Set.of(), 5, 2_600, 100);
			assertThat(ServerTableTests.this.table.register(registration("a", true, 1, 2), 5),
					is(RegistrationOutcome.CHANGED));
			assertThat(takesRequests("a"), is(false));
		}

	}

	@Nested
	class Returns {

		private static final long GRACE_UNTIL_MILLIS = 2_600;

		private static final long NOW_MILLIS = 100;

		private final ServerTable table = ServerTableTests.this.table;

		// Requests reached a server that had said that it was leaving, because the
		// store had lost its record and gave it a lower offset when it was written
		// again.
		@Test
		void departureCountsWhenItIsWrittenAgainAtALowerOffset() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.forgetOffsets();
			this.table.register(registration("a", true, 1, 8), 40);
			assertThat(takesRequests("a"), is(false));
		}

		// Requests reached a server that had left without a departure, because its
		// removal was written again at a lower offset.
		@Test
		void removalCountsWhenItIsWrittenAgainAtALowerOffset() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.forgetOffsets();
			this.table.register(registration("a", false, 1, 7), 30);
			assertThat(this.table.unregister("a", 40, PAST_MILLIS, NOW_MILLIS), is(true));
			assertThat(takesRequests("a"), is(false));
		}

		@Test
		void olderCopyDoesNotTakeADepartureBack() {
			this.table.register(registration("a", false, 1, 7), 40);
			this.table.register(registration("a", true, 1, 8), 50);
			this.table.forgetOffsets();
			assertThat(this.table.register(registration("a", false, 1, 7), 40), is(RegistrationOutcome.OUTDATED));
			assertThat(takesRequests("a"), is(false));
		}

		@Test
		void olderCopyDoesNotTakeAnEndBack() {
			this.table.register(registration("a", false, 1, 7), 40);
			this.table.unregister("a", 50, PAST_MILLIS, NOW_MILLIS);
			this.table.forgetOffsets();
			assertThat(this.table.register(registration("a", false, 1, 7), 40), is(RegistrationOutcome.OUTDATED));
			assertThat(takesRequests("a"), is(false));
		}

		@Test
		void olderCopyDoesNotReplaceANewerRecordOrALaterRun() {
			this.table.register(registration("a", false, 20, 3), 50);
			this.table.forgetOffsets();
			assertThat(this.table.register(registration("a", true, 10, 9), 40), is(RegistrationOutcome.OUTDATED));
			assertThat(this.table.register(registration("a", false, 20, 2), 41), is(RegistrationOutcome.OUTDATED));
			assertThat(this.table.find("a").get().registration().sequence(), is(3L));
			assertThat(takesRequests("a"), is(true));
		}

		@Test
		void laterRunServesAtALowerOffset() {
			this.table.register(registration("a", true, 10, 9), 50);
			this.table.unregister("a", 51, PAST_MILLIS, NOW_MILLIS);
			this.table.forgetOffsets();
			this.table.register(registration("a", false, 20, 1), 40);
			assertThat(takesRequests("a"), is(true));
		}

		// Live servers whose registration the store had lost were removed at once.
		@Test
		void runThatTheCopyLacksIsKeptUntilItIsWrittenAgain() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.forgetOffsets();
			this.table.retain(Set.of(), 40, GRACE_UNTIL_MILLIS, NOW_MILLIS);
			assertThat(takesRequests("a"), is(true));
			assertThat(this.table.find("a").get().isSuspect(), is(true));
			this.table.register(registration("a", false, 1, 7), 41);
			assertThat(this.table.find("a").get().isSuspect(), is(false));
			assertThat(this.table.expire(GRACE_UNTIL_MILLIS), hasSize(0));
		}

		@Test
		void runThatTheCopyLacksIsRemovedAfterTheGracePeriodAndUsedAgainOnceItIsWrittenAgain() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.forgetOffsets();
			this.table.retain(Set.of(), 40, GRACE_UNTIL_MILLIS, NOW_MILLIS);
			assertThat(this.table.expire(GRACE_UNTIL_MILLIS), hasSize(1));
			this.table.forgetOffsets();
			this.table.register(registration("a", false, 1, 7), 41);
			assertThat(takesRequests("a"), is(true));
		}

		// Otherwise a server that has left counts as present for a grace period.
		@Test
		void departedServerThatTheCopyLacksIsRemovedAtOnce() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.depart("a", 1);
			this.table.forgetOffsets();
			this.table.retain(Set.of(), 40, GRACE_UNTIL_MILLIS, NOW_MILLIS);
			assertThat(this.table.size(), is(0));
		}

		// Otherwise a lost server gets requests for as long as listings are repeated.
		@Test
		void secondListingThatLacksARunDoesNotProlongItsGracePeriod() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.forgetOffsets();
			this.table.retain(Set.of(), 40, GRACE_UNTIL_MILLIS, NOW_MILLIS);
			this.table.retain(Set.of(), 45, GRACE_UNTIL_MILLIS + 2_000, NOW_MILLIS + 2_000);
			assertThat(this.table.expire(GRACE_UNTIL_MILLIS), hasSize(1));
		}

		// Otherwise a server that pauses before the listing is refused for good.
		@Test
		void runThatTheCopyLacksIsUsedAgainThoughItHasPausedSince() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.forgetOffsets();
			this.table.pause(registration("a", false, 1, 7), 200, NOW_MILLIS);
			this.table.retain(Set.of(), 40, GRACE_UNTIL_MILLIS, NOW_MILLIS);
			assertThat(this.table.expire(GRACE_UNTIL_MILLIS), hasSize(1));
			this.table.register(registration("a", false, 1, 7), 41);
			assertThat(takesRequests("a"), is(true));
		}

		// A server whose registration had expired while the store was away was
		// dropped for good, because the copy's record of it, which is not written
		// again, counted as one from before the end.
		@Test
		void suspectServerIsUsedAgainOnceTheCopyShowsItsRegistration() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.unregister("a", 51, GRACE_UNTIL_MILLIS, NOW_MILLIS);
			this.table.forgetOffsets();
			this.table.register(registration("a", false, 1, 7), 40);
			this.table.retain(Set.of("a"), 45, GRACE_UNTIL_MILLIS, NOW_MILLIS);
			assertThat(this.table.find("a").get().isSuspect(), is(false));
			assertThat(this.table.expire(GRACE_UNTIL_MILLIS), hasSize(0));
			assertThat(takesRequests("a"), is(true));
		}

		// A copy brought an older record of a server, which expired; the lost record
		// that was written again then counted as one from before that end.
		@Test
		void lostRecordCountsWhenItIsWrittenAgainAfterTheEndOfAnOlderOne() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.forgetOffsets();
			this.table.register(registration("a", false, 1, 5), 30);
			this.table.unregister("a", 40, PAST_MILLIS, NOW_MILLIS);
			this.table.register(registration("a", false, 1, 7), 41);
			assertThat(takesRequests("a"), is(true));
		}

		@Test
		void lateRecordStillDoesNotBringBackAServerThatHasLeftSince() {
			this.table.register(registration("a", false, 1, 7), 50);
			this.table.forgetOffsets();
			this.table.register(registration("a", false, 1, 7), 40);
			this.table.unregister("a", 41, PAST_MILLIS, NOW_MILLIS);
			this.table.register(registration("a", false, 1, 7), 42);
			assertThat(takesRequests("a"), is(false));
		}

	}

}
