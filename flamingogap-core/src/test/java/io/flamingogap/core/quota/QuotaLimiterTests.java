package io.flamingogap.core.quota;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.ClientAccount;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link QuotaLimiter}.
 */
class QuotaLimiterTests {

	private static final double RATE = 10_000;

	private static final QuotaTolerance TOLERANCE = new QuotaTolerance(0.1, 7_000, 8_000);

	private static final ClientAccount ACCOUNT = new ClientAccount("growers", List.of("k"), OptionalInt.empty(),
			new AccountQuota(RATE, RATE, true, 200));

	private final QuotaLimiter limiter = new QuotaLimiter(TOLERANCE);

	private QuotaDecision spend(long cost, long nowMillis) {
		return this.limiter.trySpend(ACCOUNT, cost, nowMillis, "self").orElseThrow();
	}

	@Test
	void nothingIsSpentOfAQuotaThatIsNotHeld() {
		assertThat(this.limiter.trySpend(ACCOUNT, 1, 0, "self"), is(Optional.empty()));
	}

	@Test
	void refusalReportsWhenTheNextRequestIsAdmitted() {
		this.limiter.hold(ACCOUNT.name(), 1, HoldingStart.UNSPENT, 0);
		spend(100_000, 0);
		long waitMillis = spend(1, 0).waitMillis();
		assertThat(waitMillis, greaterThan(0L));
		assertThat(spend(1, waitMillis + 1).isAdmitted(), is(true));
	}

	@Test
	void refundedUnitsAdmitTheNextRequest() {
		this.limiter.hold(ACCOUNT.name(), 1, HoldingStart.UNSPENT, 0);
		spend(100_000, 0);
		this.limiter.refund(ACCOUNT, 100_000, 0);
		assertThat(spend(1, 0).isAdmitted(), is(true));
	}

	@Test
	void requestOfUpToHalfTheCapacityNeedsItsWholeCost() {
		this.limiter.hold(ACCOUNT.name(), 1, HoldingStart.UNSPENT, 0);
		spend(9_000, 0);
		assertThat(spend(2_000, 0).missingUnits(), is(1_000L));
	}

	@Test
	void restartedHolderSpendsAtOnceButNotTheWholeBurst() {
		ClientAccount account = new ClientAccount("growers", List.of("k"), OptionalInt.empty(),
				new AccountQuota(RATE, 5 * RATE, true, 200));
		this.limiter.hold(account.name(), 0.5, HoldingStart.RESTARTED, 100);
		QuotaDecision first = this.limiter.trySpend(account, 1_000, 100, "self").orElseThrow();
		assertThat(first.isAdmitted(), is(true));
		assertThat(first.availableUnits() <= RATE, is(true));
	}

	@Test
	void holderThatTakesOverWaitsAndBeginsWithNothing() {
		this.limiter.hold(ACCOUNT.name(), 0.5, HoldingStart.TAKEN_OVER, 100);
		long usableMillis = 100 + HoldingStart.TAKEN_OVER.delayMillis();
		assertThat(this.limiter.trySpend(ACCOUNT, 1, usableMillis - 1, "self"), is(Optional.empty()));
		assertThat(spend(1, usableMillis).availableUnits(), is(0L));
		assertThat(spend(1, usableMillis + 1_000).isAdmitted(), is(true));
	}

	@Test
	void interruptedHolderTakesOverAnew() {
		this.limiter.hold(ACCOUNT.name(), 1, HoldingStart.UNSPENT, 0);
		spend(1, 0);
		this.limiter.retakeAll(10_000);
		assertThat(this.limiter.trySpend(ACCOUNT, 1, 10_001, "self"), is(Optional.empty()));
	}

	@Test
	void changedShareKeepsWhatIsLeft() {
		this.limiter.hold(ACCOUNT.name(), 1, HoldingStart.UNSPENT, 0);
		spend(9_900, 0);
		this.limiter.hold(ACCOUNT.name(), 0.5, HoldingStart.TAKEN_OVER, 0);
		assertThat(spend(5_000, 0).availableUnits(), is(100L));
	}

}
