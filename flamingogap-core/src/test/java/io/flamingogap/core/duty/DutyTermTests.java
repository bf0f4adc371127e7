package io.flamingogap.core.duty;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Unit tests for {@link DutyTerm}.
 */
class DutyTermTests {

	private static final long LEASE_MILLIS = 3_000;

	private static final long CONFIRM_MILLIS = Fencing.CHECKED_BY_CLOUD.confirmationValidMillis();

	private final DutyTerm term = new DutyTerm(LEASE_MILLIS, Fencing.CHECKED_BY_CLOUD);

	private void confirmUntil(long untilMillis) {
		for (long now = 0; now <= untilMillis; now += 1_000) {
			this.term.recordHolderStatus(true, now);
		}
	}

	@Test
	void newHolderClaimsWithoutWaiting() {
		this.term.recordHolderStatus(true, 0);
		assertThat(this.term.shouldClaim(0), is(true));
	}

	@Test
	void holderThatLostDutiesWaitsForLeaseAfterLastAction() {
		this.term.recordHolderStatus(true, 0);
		this.term.recordClaim(17, true, 100);
		this.term.recordAction(200);
		this.term.recordHolderStatus(false, 1_000);
		this.term.recordHolderStatus(true, 2_000);
		assertThat(this.term.shouldClaim(200 + LEASE_MILLIS - 1), is(false));
		this.term.recordHolderStatus(true, 3_000);
		assertThat(this.term.shouldClaim(200 + LEASE_MILLIS), is(true));
	}

	@Test
	void actsWithTokenOfItsClaim() {
		confirmUntil(4_000);
		assertThat(this.term.validToken(4_000), is(OptionalLong.empty()));
		this.term.recordClaim(17, true, 4_100);
		assertThat(this.term.validToken(4_200), is(OptionalLong.of(17)));
		assertThat(this.term.shouldClaim(4_200), is(false));
	}

	@Test
	void doesNotActWithoutRecentConfirmation() {
		confirmUntil(4_000);
		this.term.recordClaim(17, true, 4_100);
		assertThat(this.term.validToken(4_000 + CONFIRM_MILLIS + 1), is(OptionalLong.empty()));
	}

	@Test
	void claimsAgainAfterGapInConfirmations() {
		confirmUntil(4_000);
		this.term.recordClaim(17, true, 4_100);
		this.term.recordAction(8_000);
		this.term.recordHolderStatus(true, 9_000);
		assertThat(this.term.validToken(9_000), is(OptionalLong.empty()));
		assertThat(this.term.shouldClaim(9_000), is(false));
		this.term.recordHolderStatus(true, 11_000);
		assertThat(this.term.shouldClaim(11_000), is(true));
	}

	@Test
	void fencedHolderWaitsForLease() {
		confirmUntil(4_000);
		this.term.recordClaim(17, true, 4_100);
		this.term.recordFenced(4_200);
		assertThat(this.term.validToken(4_300), is(OptionalLong.empty()));
		assertThat(this.term.shouldClaim(5_000), is(false));
		this.term.recordHolderStatus(true, 5_000);
		this.term.recordHolderStatus(true, 7_000);
		assertThat(this.term.shouldClaim(7_200), is(true));
	}

	@Test
	void doesNotActAfterAnotherNodeBecameHolder() {
		confirmUntil(4_000);
		this.term.recordClaim(17, true, 4_100);
		this.term.recordHolderStatus(false, 5_000);
		assertThat(this.term.validToken(5_000), is(OptionalLong.empty()));
	}

	@Test
	void successorWaitsForALeaseIfTheCloudDoesNotCheckTokens() {
		DutyTerm successor = new DutyTerm(LEASE_MILLIS, Fencing.KEPT_BY_HOLDERS);
		successor.recordHolderStatus(true, 0);
		successor.recordClaim(17, true, 100);
		successor.recordHolderStatus(true, 1_500);
		successor.recordHolderStatus(true, 3_000);
		assertThat(successor.validToken(100 + LEASE_MILLIS - 1), is(OptionalLong.empty()));
		assertThat(successor.validToken(100 + LEASE_MILLIS), is(OptionalLong.of(17)));
	}

	@Test
	void firstHolderOfAllDoesNotWait() {
		DutyTerm holder = new DutyTerm(LEASE_MILLIS, Fencing.KEPT_BY_HOLDERS);
		holder.recordHolderStatus(true, 0);
		holder.recordClaim(17, false, 100);
		assertThat(holder.validToken(100), is(OptionalLong.of(17)));
	}

	@Test
	void callsAreEndedWhenTheConfirmationIsOldAndTheCloudDoesNotCheckTokens() {
		DutyTerm holder = new DutyTerm(LEASE_MILLIS, Fencing.KEPT_BY_HOLDERS);
		holder.recordHolderStatus(true, 0);
		holder.recordClaim(17, false, 100);
		assertThat(holder.mustEndCalls(2_000), is(false));
		assertThat(holder.mustEndCalls(2_001), is(true));
	}

}
