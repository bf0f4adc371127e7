package io.flamingogap.core.request;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.node.NodeId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Unit tests for {@link RequestLedger}.
 */
class RequestLedgerTests {

	private static final NodeId FIRST = LedgerFixtures.node(1);

	private static final NodeId SECOND = LedgerFixtures.node(2);

	private static final NodeId THIRD = LedgerFixtures.node(3);

	private RequestLedger ledger;

	private RequestKey key;

	private KeyedRequest request;

	@BeforeEach
	void createLedger() {
		this.ledger = new RequestLedger(FIRST, LedgerFixtures.LIMITS);
		this.key = LedgerFixtures.key(FIRST, 0, 1);
		this.request = LedgerFixtures.request(this.key);
	}

	private static @Nullable RuntimeException exceptionOf(Runnable action) {
		try {
			action.run();
			return null;
		}
		catch (RuntimeException ex) {
			return ex;
		}
	}

	private ProblemType refusalType(KeyedRequest attempt, long nowMillis) {
		Admission admission = this.ledger.admit(attempt, nowMillis);
		assertThat(admission, instanceOf(Admission.Refuse.class));
		return ((Admission.Refuse) admission).failure().type();
	}

	@Nested
	class Attempts {

		@Test
		void firstAttemptIsDispatchedOnce() {
			assertThat(RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0),
					instanceOf(Admission.Dispatch.class));
			assertThat(RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key), is(true));
			assertThat(RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key), is(false));
		}

		@Test
		void retryJoinsAttemptInProgress() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			assertThat(RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 1),
					instanceOf(Admission.Join.class));
		}

		@Test
		void retryReplaysStoredAnswer() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key);
			RequestLedgerTests.this.ledger.recordAnswer(RequestLedgerTests.this.key, LedgerFixtures.ANSWER);
			Admission admission = RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 2);
			assertThat(admission, equalTo(new Admission.Replay(LedgerFixtures.ANSWER)));
		}

		@Test
		void differentBodyWithSameKeyIsRefused() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			KeyedRequest other = LedgerFixtures.request(RequestLedgerTests.this.key, "{\"lot\":2}");
			assertThat(refusalType(other, 1), is(ProblemType.KEY_REUSED));
		}

		@Test
		void lostAnswerIsReportedAsOutcomeUnknown() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key);
			RequestLedgerTests.this.ledger.recordUnknown(RequestLedgerTests.this.key);
			Admission.Refuse refuse = (Admission.Refuse) RequestLedgerTests.this.ledger
				.admit(RequestLedgerTests.this.request, 1);
			assertThat(refuse.failure().execution(), is(Execution.UNKNOWN));
		}

		@Test
		void cancelledRequestIsNeverDispatched() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			assertThat(RequestLedgerTests.this.ledger.cancel(RequestLedgerTests.this.key), is(true));
			assertThat(RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key), is(false));
			assertThat(refusalType(RequestLedgerTests.this.request, 1), is(ProblemType.DEADLINE_EXCEEDED));
		}

		@Test
		void keyOfAnotherNodeIsForwarded() {
			KeyedRequest other = LedgerFixtures.request(LedgerFixtures.key(SECOND, 0, 1));
			assertThat(RequestLedgerTests.this.ledger.admit(other, 0), equalTo(new Admission.Forward(SECOND)));
		}

	}

	@Nested
	class KeyValidity {

		@Test
		void expiredPrefixIsRefused() {
			assertThat(refusalType(RequestLedgerTests.this.request, LedgerFixtures.FIRST_USE_MILLIS + 1),
					is(ProblemType.KEY_EXPIRED));
		}

		@Test
		void prefixIssuedInFutureIsRefused() {
			KeyedRequest fromFuture = LedgerFixtures.request(LedgerFixtures.key(FIRST, 1_000, 1));
			assertThat(refusalType(fromFuture, 0), is(ProblemType.KEY_EXPIRED));
		}

		@Test
		void forgottenKeyBeginsNothingWhenTheClockGoesBack() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key);
			RequestLedgerTests.this.ledger.recordAnswer(RequestLedgerTests.this.key, LedgerFixtures.ANSWER);
			long laterMillis = LedgerFixtures.RETENTION_MILLIS + 1;
			RequestLedgerTests.this.ledger.admit(LedgerFixtures.request(LedgerFixtures.key(FIRST, laterMillis, 2)),
					laterMillis);
			assertThat(RequestLedgerTests.this.ledger.find(RequestLedgerTests.this.key).isPresent(), is(false));
			assertThat(refusalType(RequestLedgerTests.this.request, 0), is(ProblemType.KEY_EXPIRED));
		}

		@Test
		void fullLedgerRefusesNewRequestsAndKeepsExistingOnes() {
			RequestLedger small = new RequestLedger(FIRST, new LedgerLimits(1, 1_000, 1_000, 5_000, 100));
			small.admit(RequestLedgerTests.this.request, 0);
			Admission.Refuse refuse = (Admission.Refuse) small
				.admit(LedgerFixtures.request(LedgerFixtures.key(FIRST, 0, 2)), 0);
			assertThat(refuse.failure().type(), is(ProblemType.OVERLOADED));
			assertThat(refuse.failure().execution(), is(Execution.NOT_RUN));
			assertThat(small.startDispatch(RequestLedgerTests.this.key), is(true));
		}

	}

	@Nested
	class Handover {

		private final RequestLedger successor = new RequestLedger(SECOND, LedgerFixtures.LIMITS);

		@Test
		void offerDoesNotMoveOwnership() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			this.successor.receiveOffer(RequestLedgerTests.this.ledger.exportOffer());
			assertThat(this.successor.startDispatch(RequestLedgerTests.this.key), is(false));
			assertThat(RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key), is(true));
		}

		@Test
		void commitMovesOwnership() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			this.successor.receiveOffer(RequestLedgerTests.this.ledger.exportOffer());
			CommitResult result = this.successor.receiveCommit(RequestLedgerTests.this.ledger.commit(SECOND));
			assertThat(((CommitResult.Taken) result).toDispatch().size(), is(1));
			assertThat(RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key), is(false));
			assertThat(this.successor.startDispatch(RequestLedgerTests.this.key), is(true));
		}

		@Test
		void commitToSecondSuccessorFails() {
			RequestLedgerTests.this.ledger.commit(SECOND);
			assertThat(exceptionOf(() -> RequestLedgerTests.this.ledger.commit(THIRD)),
					instanceOf(IllegalStateException.class));
		}

		@Test
		void commitAfterLostOfferNeedsFullCommit() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key);
			RequestLedgerTests.this.ledger.exportOffer();
			List<KeySpacePart> changes = RequestLedgerTests.this.ledger.commit(SECOND);
			assertThat(this.successor.receiveCommit(changes), instanceOf(CommitResult.Incomplete.class));
			assertThat(this.successor.isOwner(FIRST), is(false));
			this.successor.receiveCommit(RequestLedgerTests.this.ledger.fullCommit());
			assertThat(this.successor.startDispatch(RequestLedgerTests.this.key), is(false));
			assertThat(this.successor.admit(RequestLedgerTests.this.request, 1), instanceOf(Admission.Join.class));
		}

		@Test
		void refusedCommitCanGoToAnotherSuccessor() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			this.successor.commit(THIRD);
			List<KeySpacePart> parts = RequestLedgerTests.this.ledger.commit(SECOND);
			assertThat(this.successor.receiveCommit(parts), instanceOf(CommitResult.Refused.class));
			assertThat(RequestLedgerTests.this.ledger.recordCommitRefused(SECOND), is(true));
			RequestLedger third = new RequestLedger(THIRD, LedgerFixtures.LIMITS);
			third.receiveCommit(RequestLedgerTests.this.ledger.commit(THIRD));
			assertThat(third.startDispatch(RequestLedgerTests.this.key), is(true));
		}

		@Test
		void refusalIsFinal() {
			this.successor.commit(THIRD);
			List<KeySpacePart> parts = RequestLedgerTests.this.ledger.commit(SECOND);
			this.successor.receiveCommit(parts);
			this.successor.recordCommitRefused(THIRD);
			assertThat(this.successor.receiveCommit(parts), instanceOf(CommitResult.Refused.class));
		}

		@Test
		void repeatedCommitIsNotRefusedAfterFurtherHandover() {
			List<KeySpacePart> parts = RequestLedgerTests.this.ledger.commit(SECOND);
			this.successor.receiveCommit(parts);
			this.successor.commit(THIRD);
			assertThat(this.successor.receiveCommit(parts), equalTo(new CommitResult.Taken(List.of())));
		}

		@Test
		void repeatedCommitDispatchesNothingAgain() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			List<KeySpacePart> parts = RequestLedgerTests.this.ledger.commit(SECOND);
			this.successor.receiveCommit(parts);
			assertThat(this.successor.receiveCommit(parts), equalTo(new CommitResult.Taken(List.of())));
		}

		@Test
		void successorReplaysStoredAnswer() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key);
			RequestLedgerTests.this.ledger.recordAnswer(RequestLedgerTests.this.key, LedgerFixtures.ANSWER);
			this.successor.receiveCommit(RequestLedgerTests.this.ledger.commit(SECOND));
			assertThat(this.successor.admit(RequestLedgerTests.this.request, 1),
					equalTo(new Admission.Replay(LedgerFixtures.ANSWER)));
		}

		@Test
		void outcomeOfRequestInFlightReachesSuccessor() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key);
			this.successor.receiveCommit(RequestLedgerTests.this.ledger.commit(SECOND));
			RequestLedgerTests.this.ledger.recordAnswer(RequestLedgerTests.this.key, LedgerFixtures.ANSWER);
			this.successor.receiveOutcomes(RequestLedgerTests.this.ledger.exportNewOutcomes());
			assertThat(this.successor.admit(RequestLedgerTests.this.request, 1),
					equalTo(new Admission.Replay(LedgerFixtures.ANSWER)));
		}

		@Test
		void doubledNotSentOutcomeDispatchesOnce() {
			RequestLedgerTests.this.ledger.admit(RequestLedgerTests.this.request, 0);
			RequestLedgerTests.this.ledger.startDispatch(RequestLedgerTests.this.key);
			this.successor.receiveCommit(RequestLedgerTests.this.ledger.commit(SECOND));
			RequestLedgerTests.this.ledger.recordNotSent(RequestLedgerTests.this.key);
			List<KeySpacePart> outcomes = RequestLedgerTests.this.ledger.exportNewOutcomes();
			this.successor.receiveOutcomes(outcomes);
			assertThat(this.successor.startDispatch(RequestLedgerTests.this.key), is(true));
			assertThat(this.successor.receiveOutcomes(outcomes), is(empty()));
			assertThat(this.successor.startDispatch(RequestLedgerTests.this.key), is(false));
		}

	}

}
