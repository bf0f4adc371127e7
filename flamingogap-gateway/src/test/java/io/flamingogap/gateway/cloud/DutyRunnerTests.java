package io.flamingogap.gateway.cloud;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.duty.DutyClaim;
import io.flamingogap.core.duty.Fencing;
import io.flamingogap.core.duty.UsageCounts;
import io.flamingogap.core.fleet.ServerPlan;
import io.flamingogap.gateway.node.ReportCodec;
import io.flamingogap.gateway.peers.ChannelWithFrozenTime;
import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.ScriptedStore;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.time.NodeClock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link DutyRunner} with one node that the store names as the holder: when it
 * claims and acts around a return of the store.
 */
class DutyRunnerTests {

	/** Longer than it takes until the first usage report is due. */
	private static final long LEASE_MILLIS = 6_000;

	private static final long WINDOW_MILLIS = 1_000;

	private static final long STEP_MILLIS = 50;

	private static final long START_OF_DAY_MILLIS = 1_796_600_000_000L;

	private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

	private final EmptyStore store = new EmptyStore();

	private final RecordingCloud cloud = new RecordingCloud();

	private long nowMillis;

	private long correctionLagMillis;

	private long nextReportOffset;

	private long clockStepMillis;

	private DutyRunner startNode(Fencing fencing, boolean firstStart) {
		NodeClock clock = new NodeClock(() -> TimeUnit.MILLISECONDS.toNanos(this.nowMillis),
				() -> START_OF_DAY_MILLIS + this.nowMillis + this.clockStepMillis);
		DutyRunner runner = new DutyRunner(DutyRunnerDependencies.create(this.channel.eventLoop(), this.store,
				this.cloud, clock, () -> clock.timeOfDayMillis() - this.correctionLagMillis,
				() -> this.nextReportOffset, new UsageCounts(), "node-1", firstStart), LEASE_MILLIS, fencing,
				WINDOW_MILLIS);
		runner.start();
		return runner;
	}

	private void advanceTime(long millis) {
		for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
			this.nowMillis += STEP_MILLIS;
			this.channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
			this.channel.runPendingTasks();
			this.channel.runScheduledPendingTasks();
		}
	}

	private void returnFromEmptyCopy() {
		this.store.timeline++;
		this.store.records.clear();
	}

	@Test
	void firstHolderOfAFirstStartActsAtOnce() {
		startNode(Fencing.KEPT_BY_HOLDERS, true);
		advanceTime(LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(1));
		assertThat(this.cloud.sentAtMillis.isEmpty(), is(false));
	}

	// A copy from before the first claim shows none; the next holder acted at once beside
	// the earlier one, and the cloud refused neither.
	@Test
	void holderWaitsForALeaseIfTheStoreHasReturnedWithoutAnyClaim() {
		this.store.assignsDuties = false;
		startNode(Fencing.KEPT_BY_HOLDERS, true);
		advanceTime(1_000);
		returnFromEmptyCopy();
		this.store.assignsDuties = true;
		advanceTime(4 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(1));
		assertThat(this.cloud.sentAtMillis.get(0) - this.store.claimedAtMillis.get(0),
				greaterThanOrEqualTo(LEASE_MILLIS));
	}

	// A holder went on with the claim that a return of the store had lost.
	@Test
	void termEndsWhenTheStoreReturns() {
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		int calls = this.cloud.tokens.size();
		assertThat(calls, greaterThan(0));
		returnFromEmptyCopy();
		advanceTime(3 * LEASE_MILLIS);
		assertThat(this.cloud.tokens.size(), greaterThan(calls));
		assertThat(this.cloud.tokens.get(calls), greaterThan(this.cloud.tokens.get(calls - 1)));
		assertThat(this.store.generations.get(this.store.joinsBeforeReturn), is(0L));
	}

	// A window was counted anew by a node that had appended nothing behind the lost
	// report.
	@Test
	void windowsAreLeftOutIfAnotherStreamOfAnUnnumberedStoreIsShortened() {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		this.store.records.add(new StoredRecord("holder", Optional.of(new byte[] { 'n' }), 0));
		this.store.assignsDuties = false;
		DutyRunner runner = startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		this.store.assignsDuties = true;
		long returnedAtMillis = START_OF_DAY_MILLIS + this.nowMillis;
		runner.onStoreRestored();
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.cloud.windows.get(0), greaterThanOrEqualTo(returnedAtMillis / WINDOW_MILLIS));
	}

	// The next holder claimed before it had noticed that a store without numbers had lost
	// a report, and counted its window anew.
	@Test
	void doesNotClaimBeforeItsReportsAreReadAgainIfTheStoreHasLostSome() {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		this.store.records.add(new StoredRecord("holder", Optional.of(new byte[] { 'n' }), 0));
		this.store.reportsEndOffset = 20;
		this.nextReportOffset = 30;
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.isEmpty(), is(true));
		long returnedAtMillis = START_OF_DAY_MILLIS + this.nowMillis;
		this.nextReportOffset = 20;
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(1));
		assertThat(this.cloud.windows.get(0), greaterThanOrEqualTo(returnedAtMillis / WINDOW_MILLIS));
	}

	// A window that had been reported was counted anew after a suspension of the machine,
	// since the times of day that other nodes had reported before it lagged.
	@ParameterizedTest
	@ValueSource(longs = { 0, 10_000 })
	void windowsThatEndedBeforeAReturnAreLeftOutIfTheCorrectionLags(long lagMillis) {
		this.store.assignsDuties = false;
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		returnFromEmptyCopy();
		this.store.assignsDuties = true;
		this.correctionLagMillis = lagMillis;
		long returnedAtMillis = START_OF_DAY_MILLIS + this.nowMillis;
		advanceTime(2_000);
		assertThat(this.store.claimedAtMillis.size(), is((lagMillis == 0) ? 1 : 0));
		this.correctionLagMillis = 0;
		advanceTime(LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(1));
		assertThat(this.cloud.windows.get(0), greaterThanOrEqualTo(returnedAtMillis / WINDOW_MILLIS));
	}

	// The token of a node whose clock had stepped ahead was higher than those of the
	// holders after it, once the store had lost its claim.
	@ParameterizedTest
	@ValueSource(longs = { 0, 3_600_000 })
	void tokenDoesNotFollowAClockThatTheOtherNodesCorrect(long stepMillis) {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		this.clockStepMillis = stepMillis;
		this.correctionLagMillis = stepMillis;
		DutyRunner runner = startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(2 * LEASE_MILLIS);
		runner.stop();
		int calls = this.cloud.tokens.size();
		assertThat(calls, greaterThan(0));
		this.store.records.clear();
		this.clockStepMillis = 0;
		this.correctionLagMillis = 0;
		startNode(Fencing.CHECKED_BY_CLOUD, false);
		advanceTime(4 * LEASE_MILLIS);
		assertThat(this.cloud.tokens.size(), greaterThan(calls));
		assertThat(this.cloud.tokens.get(calls), greaterThan(this.cloud.tokens.get(calls - 1)));
	}

	// A claim that was answered in a later timeline than it was made in isn't in order
	// with the claims of that timeline.
	@Test
	void claimThatIsAnsweredInAnotherTimelineDoesNotCount() {
		this.store.returnsDuringNextAppend = true;
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(2));
		assertThat(this.cloud.sentAtMillis.get(0), greaterThan(this.store.claimedAtMillis.get(1)));
	}

	// A node that was killed and restarted claimed within the lease, so that its machine
	// acted before and after another one.
	@Test
	void restartedNodeWaitsForALeaseBeforeItClaims() {
		startNode(Fencing.CHECKED_BY_CLOUD, false);
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.get(0), greaterThanOrEqualTo(LEASE_MILLIS));
	}

	// Otherwise a claim counts that is answered after a return which other answers have
	// shown, once the node has been named as the holder again.
	@Test
	void claimThatIsAnsweredAfterAnotherTimelineWasShownDoesNotCount() {
		this.store.holdsNextAppend = true;
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(1_000);
		returnFromEmptyCopy();
		advanceTime(2_000);
		this.store.heldAppend.complete(0L);
		advanceTime(LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(2));
	}

	// Otherwise a claim counts that a return without a number may have lost.
	@Test
	void claimThatIsAnsweredAfterAnotherStreamWasShortenedDoesNotCount() {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		this.store.holdsNextAppend = true;
		DutyRunner runner = startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(1_000);
		runner.onStoreRestored();
		advanceTime(2_000);
		this.store.heldAppend.complete(0L);
		advanceTime(LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(2));
	}

	// Otherwise a node claims beside what a listing of another timeline shows.
	@Test
	void nodeDoesNotClaimOnAListingThatIsAnsweredInAnotherTimeline() {
		this.store.returnsDuringNextListing = true;
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(1));
	}

	// Otherwise a report is sent that the store may not have.
	@Test
	void reportThatIsStoredInAnotherTimelineIsNotSent() {
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(1_000);
		this.store.returnsDuringNextAppend = true;
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(2));
		assertThat(this.cloud.windows.get(0),
				greaterThanOrEqualTo((START_OF_DAY_MILLIS + this.store.claimedAtMillis.get(1)) / WINDOW_MILLIS));
	}

	// Otherwise a holder whose report is pending goes on with a claim that is lost.
	@Test
	void reportIsNotRepeatedWithTheTokenOfAnEarlierTimeline() {
		this.cloud.answer = CompletableFuture.completedFuture(CloudApi.Verdict.UNKNOWN);
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		int calls = this.cloud.tokens.size();
		assertThat(calls, greaterThan(0));
		this.store.assignsDuties = false;
		this.store.knownTimeline = ++this.store.timeline;
		advanceTime(2_000);
		assertThat(this.cloud.tokens.size(), is(calls));
	}

	// Otherwise a holder is without the duties for another second after each return.
	@Test
	void nodeJoinsAtOnceWhenAnotherAnswerShowsTheReturn() {
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		int joins = 0;
		while (this.store.generations.size() == joins || this.nowMillis < LEASE_MILLIS) {
			joins = this.store.generations.size();
			advanceTime(STEP_MILLIS);
		}
		joins = this.store.generations.size();
		this.store.knownTimeline = ++this.store.timeline;
		advanceTime(500);
		assertThat(this.store.generations.size(), is(joins + 1));
	}

	// Otherwise a call goes on beside the next holder's until the next tick.
	@Test
	void callInProgressIsEndedWhenAnotherStreamIsShortened() {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		this.cloud.answer = new CompletableFuture<>();
		DutyRunner runner = startNode(Fencing.KEPT_BY_HOLDERS, true);
		advanceTime(LEASE_MILLIS);
		assertThat(this.cloud.tokens.size(), is(1));
		assertThat(this.cloud.aborts, is(0));
		runner.onStoreRestored();
		assertThat(this.cloud.aborts, is(1));
	}

	// Otherwise a holder goes on with a claim that a return without a number has lost.
	@Test
	void termEndsWhenAnotherStreamOfAnUnnumberedStoreIsShortened() {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		DutyRunner runner = startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		runner.onStoreRestored();
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(2));
	}

	// Otherwise each stream that is listed again after a numbered return ends the term.
	@Test
	void termGoesOnWhenAnotherStreamOfANumberedStoreIsListedAgain() {
		DutyRunner runner = startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		runner.onStoreRestored();
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(1));
	}

	private void otherNodeClaims() {
		this.store.records.add(
				new StoredRecord(DutyListing.claimKey(this.store.timeline),
						Optional.of(ReportCodec.encodeClaim(new DutyClaim("node-2", Long.MAX_VALUE / 2,
								this.store.timeline, OptionalLong.of(START_OF_DAY_MILLIS / WINDOW_MILLIS)))),
						this.store.records.size()));
	}

	private long windowOfClaim(int number) {
		return (START_OF_DAY_MILLIS + this.store.claimedAtMillis.get(number)) / WINDOW_MILLIS;
	}

	// Otherwise each claim after a return leaves windows out, since the end of the stream
	// of the earlier timeline counts as that of the new one.
	@Test
	void windowsAreNotLeftOutOnceAnotherNodeHasClaimedInTheNewTimeline() {
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		int calls = this.cloud.windows.size();
		this.store.assignsDuties = false;
		returnFromEmptyCopy();
		this.store.knownTimeline = this.store.timeline;
		otherNodeClaims();
		advanceTime(2_000);
		this.store.assignsDuties = true;
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(2));
		assertThat(this.cloud.windows.get(calls), lessThan(windowOfClaim(1) - 1));
	}

	// Otherwise each claim after a return without a number leaves windows out.
	@Test
	void windowsAreNotLeftOutBySecondClaimAfterAnotherStreamWasShortened() {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		DutyRunner runner = startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(1_000);
		runner.onStoreRestored();
		advanceTime(2 * LEASE_MILLIS);
		int calls = this.cloud.windows.size();
		this.store.assignsDuties = false;
		advanceTime(2_000);
		this.store.assignsDuties = true;
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(3));
		assertThat(this.cloud.windows.get(calls), lessThan(windowOfClaim(2) - 1));
	}

	// Otherwise a window is counted anew whose report a return without a number has lost.
	@Test
	void windowsAreLeftOutIfTheStreamOfTheDutiesIsShortened() {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		int calls = this.cloud.windows.size();
		assertThat(calls, greaterThan(0));
		this.store.assignsDuties = false;
		advanceTime(2_000);
		this.store.records.subList(1, this.store.records.size()).clear();
		this.store.assignsDuties = true;
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(2));
		assertThat(this.cloud.windows.get(calls), greaterThanOrEqualTo(windowOfClaim(1)));
	}

	// Otherwise a holder acts beside the one whose claim a return without a number has
	// lost.
	@Test
	void holderWaitsForALeaseIfTheStreamOfTheDutiesHasLostItsClaim() {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		startNode(Fencing.KEPT_BY_HOLDERS, true);
		advanceTime(1_000);
		this.store.assignsDuties = false;
		this.store.records.clear();
		advanceTime(1_000);
		this.store.assignsDuties = true;
		advanceTime(3 * LEASE_MILLIS);
		assertThat(this.store.claimedAtMillis.size(), is(2));
		assertThat(this.cloud.sentAtMillis.get(0) - this.store.claimedAtMillis.get(1),
				greaterThanOrEqualTo(LEASE_MILLIS));
	}

	// Otherwise a node that joins later acts beside the holder whose claim it reads.
	@Test
	void holderWaitsForALeaseIfAnotherNodeHasClaimedBefore() {
		otherNodeClaims();
		startNode(Fencing.KEPT_BY_HOLDERS, true);
		advanceTime(3 * LEASE_MILLIS);
		assertThat(this.cloud.sentAtMillis.get(0) - this.store.claimedAtMillis.get(0),
				greaterThanOrEqualTo(LEASE_MILLIS));
	}

	// Otherwise a node that gets the duties long after its start acts beside a holder
	// whose claim is lost.
	@Test
	void holderWaitsForALeaseIfItHasStartedLongAgo() {
		this.store.assignsDuties = false;
		startNode(Fencing.KEPT_BY_HOLDERS, true);
		advanceTime(2 * LEASE_MILLIS);
		this.store.assignsDuties = true;
		advanceTime(3 * LEASE_MILLIS);
		assertThat(this.cloud.sentAtMillis.get(0) - this.store.claimedAtMillis.get(0),
				greaterThanOrEqualTo(LEASE_MILLIS));
	}

	// Otherwise the first holder waits for a lease on a machine that has run for longer.
	@Test
	void firstHolderActsAtOnceHoweverLongItsMachineHasRun() {
		this.nowMillis = 100_000;
		startNode(Fencing.KEPT_BY_HOLDERS, true);
		advanceTime(LEASE_MILLIS);
		assertThat(this.cloud.sentAtMillis.isEmpty(), is(false));
	}

	// Otherwise the first holder leaves out the windows in which no node held the duties.
	@Test
	void firstHolderReportsTheWindowsSinceItHeardFromTheStore() {
		this.store.assignsDuties = false;
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(4_000);
		this.store.assignsDuties = true;
		advanceTime(LEASE_MILLIS);
		assertThat(this.cloud.windows.get(0), is(START_OF_DAY_MILLIS / WINDOW_MILLIS));
	}

	// Otherwise a node whose clock is behind claims with a token of the past.
	@Test
	void tokenIsNotLowerThanTheCorrectedTimeOfDay() {
		this.store.timeline = RecordStore.UNNUMBERED_TIMELINE;
		this.correctionLagMillis = -2_000;
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(2 * LEASE_MILLIS);
		assertThat(this.cloud.tokens.get(0),
				greaterThanOrEqualTo(START_OF_DAY_MILLIS + 2_000 + this.store.claimedAtMillis.get(0)));
	}

	// Otherwise the next holder can't tell the report from one that was stored late.
	@Test
	void claimAndReportAreStoredWithTimelineAndToken() {
		startNode(Fencing.CHECKED_BY_CLOUD, true);
		advanceTime(LEASE_MILLIS);
		StoredRecord claim = this.store.records.get(0);
		StoredRecord usage = this.store.records.get(1);
		assertThat(claim.key(), is(DutyListing.claimKey(1)));
		assertThat(usage.key(), is(DutyListing.USAGE_KEY));
		ReportCodec.StoredUsage stored = ReportCodec.decodeUsageReport(usage.value().orElseThrow()).get();
		assertThat(stored.token(), is(OptionalLong.of(this.cloud.tokens.get(0))));
		assertThat(stored.timeline(), is(1L));
	}

	/** A store without records at first, which names the node as the holder. */
	private final class EmptyStore extends ForwardingStore {

		private final List<StoredRecord> records = new ArrayList<>();

		private final List<Long> claimedAtMillis = new ArrayList<>();

		private final List<Long> generations = new ArrayList<>();

		private int joinsBeforeReturn;

		private long reportsEndOffset;

		private long timeline = 1;

		private long knownTimeline;

		private boolean assignsDuties = true;

		private boolean returnsDuringNextAppend;

		private boolean returnsDuringNextListing;

		private boolean holdsNextAppend;

		/** The answer to the append that was held. */
		private final CompletableFuture<Long> heldAppend = new CompletableFuture<>();

		private EmptyStore() {
			super(new ScriptedStore());
		}

		private <T> CompletableFuture<T> answer(T body) {
			this.knownTimeline = this.timeline;
			return CompletableFuture.completedFuture(body);
		}

		@Override
		public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
			if (stream == StoreStream.NODES) {
				return answer(new Page(List.of(), false, this.reportsEndOffset, this.timeline));
			}
			if (this.returnsDuringNextListing) {
				this.returnsDuringNextListing = false;
				returnFromEmptyCopy();
			}
			return answer(new Page(List.copyOf(this.records), false, this.records.size(), this.timeline));
		}

		@Override
		public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
				OptionalLong expectedOffset) {
			if (!key.equals(DutyListing.USAGE_KEY)) {
				this.claimedAtMillis.add(DutyRunnerTests.this.nowMillis);
			}
			if (this.holdsNextAppend) {
				this.holdsNextAppend = false;
				return this.heldAppend;
			}
			if (this.returnsDuringNextAppend) {
				this.returnsDuringNextAppend = false;
				returnFromEmptyCopy();
			}
			this.records.add(new StoredRecord(key, value, this.records.size()));
			return answer(this.records.size() - 1L);
		}

		@Override
		public CompletableFuture<GroupView> join(String member, long generation, long ttlMillis) {
			if (this.timeline == 1) {
				this.joinsBeforeReturn++;
			}
			this.generations.add(generation);
			return answer(new GroupView(7, this.assignsDuties));
		}

		@Override
		public long timeline() {
			return this.knownTimeline;
		}

	}

	private final class RecordingCloud implements CloudApi {

		private final List<Long> tokens = new ArrayList<>();

		private final List<Long> sentAtMillis = new ArrayList<>();

		private final List<Long> windows = new ArrayList<>();

		private CompletableFuture<Verdict> answer = CompletableFuture.completedFuture(Verdict.ACCEPTED);

		private int aborts;

		@Override
		public CompletableFuture<Verdict> reportUsage(long token, long window, Map<String, Long> requests) {
			this.windows.add(window);
			this.tokens.add(token);
			this.sentAtMillis.add(DutyRunnerTests.this.nowMillis);
			return this.answer;
		}

		@Override
		public CompletableFuture<Verdict> orderServers(long token, ServerPlan plan) {
			throw new UnsupportedOperationException("no servers are ordered here");
		}

		@Override
		public void abortCalls() {
			this.aborts++;
		}

	}

}
