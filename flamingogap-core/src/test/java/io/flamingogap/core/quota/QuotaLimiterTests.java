package io.flamingogap.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.ClientAccount;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link QuotaLimiter}.
 */
class QuotaLimiterTests {

	private static final double RATE = 10_000;

	private static final long WINDOW_MILLIS = 8_000;

	private static final QuotaTolerance TOLERANCE = new QuotaTolerance(0.1, 7_000, WINDOW_MILLIS);

	private static final ClientAccount ACCOUNT = new ClientAccount("growers", List.of("k"), OptionalInt.empty(),
			new AccountQuota(RATE, RATE, true, 200));

	@Test
	void accountWithoutALimitIsAlwaysAdmitted() {
		ClientAccount free = new ClientAccount("free", List.of("k"), OptionalInt.empty(), AccountQuota.UNLIMITED);
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, true);
		assertThat(limiter.admit(free, 1_000_000, new Fleet(1), 0).isAdmitted(), is(true));
	}

	@Test
	void refusalReportsWhenTheNextRequestIsAdmitted() {
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, true);
		Fleet alone = new Fleet(1);
		limiter.admit(ACCOUNT, 100_000, alone, 0);
		long waitMillis = limiter.admit(ACCOUNT, 1, alone, 0).waitMillis();
		assertThat(waitMillis, greaterThan(0L));
		assertThat(limiter.admit(ACCOUNT, 1, alone, waitMillis + 1).isAdmitted(), is(true));
	}

	@Test
	void refundedUnitsAdmitTheNextRequest() {
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, true);
		Fleet alone = new Fleet(1);
		limiter.admit(ACCOUNT, 100_000, alone, 0);
		limiter.refund(ACCOUNT, 100_000);
		assertThat(limiter.admit(ACCOUNT, 1, alone, 0).isAdmitted(), is(true));
	}

	@Test
	void restartedNodeKeepsItsShare() {
		Fleet others = new Fleet(9);
		others.others.put(ACCOUNT.name(), 8_000L);
		QuotaLimiter restarted = new QuotaLimiter(TOLERANCE, false);
		restarted.restoreDemand(Map.of(ACCOUNT.name(), 8_000L), 0);
		assertThat(restarted.admit(ACCOUNT, 1, others, 0).share(), greaterThan(0.4));
		restarted.createDemandReport(1_500);
		assertThat(restarted.admit(ACCOUNT, 1, others, 1_500).share(), greaterThan(0.3));
	}

	@Test
	void repeatedReportOfThePreviousRunCountsOnce() {
		QuotaLimiter restarted = new QuotaLimiter(TOLERANCE, false);
		restarted.restoreDemand(Map.of(ACCOUNT.name(), 8_000L), 0);
		restarted.restoreDemand(Map.of(ACCOUNT.name(), 8_000L), 0);
		assertThat(restarted.createDemandReport(0), is(Map.of(ACCOUNT.name(), 8_000L)));
	}

	@Test
	void refusalReportsHowManyUnitsAreMissing() {
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, true);
		Fleet alone = new Fleet(1);
		limiter.admit(ACCOUNT, 100_000, alone, 0);
		QuotaDecision refused = limiter.admit(ACCOUNT, 50, alone, 0);
		assertThat(refused.isAdmitted(), is(false));
		limiter.receive(ACCOUNT.name(), refused.missingUnits());
		assertThat(limiter.retryAdmission(ACCOUNT, 50, alone, 0).isAdmitted(), is(true));
	}

	@Test
	void requestOfUpToHalfTheCapacityNeedsItsWholeCost() {
		QuotaLimiter limiter = new QuotaLimiter(TOLERANCE, true);
		Fleet alone = new Fleet(1);
		limiter.admit(ACCOUNT, 9_000, alone, 0);
		assertThat(limiter.admit(ACCOUNT, 2_000, alone, 0).missingUnits(), is(1_000L));
	}

	/**
	 * Guards against a jump in demand that several nodes admit at once because reports
	 * arrive late. Each node reports every 2,000 ms and reads the others' reports every
	 * 1,500 ms, both at its own offset. The demand jumps within the first three seconds.
	 */
	@Property(tries = 100, seed = "20261204")
	void nodesTogetherKeepTheQuotaWhenDemandJumps(@ForAll @LongRange(max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		int nodes = 9;
		List<QuotaLimiter> limiters = new ArrayList<>();
		List<Fleet> fleets = new ArrayList<>();
		for (int i = 0; i < nodes; i++) {
			limiters.add(new QuotaLimiter(TOLERANCE, true));
			fleets.add(new Fleet(nodes));
		}
		long jumpMillis = 1_000 + random.nextInt(2_000);
		long admitted = 0;
		for (long now = -6_000; now < WINDOW_MILLIS; now += 5) {
			int node = random.nextInt(nodes);
			boolean sends = now >= jumpMillis || random.nextInt(15) == 0;
			long cost = 100 + random.nextInt(700);
			if (sends && limiters.get(node).admit(ACCOUNT, cost, fleets.get(node), now).isAdmitted() && now >= 0) {
				admitted += cost;
			}
			exchange(limiters, fleets, now);
		}
		double bound = (RATE * WINDOW_MILLIS / 1_000 + RATE) * 1.1 + 7_000;
		assertThat((double) admitted, lessThanOrEqualTo(bound));
	}

	/**
	 * Guards against units that are spent twice when nodes lend them or restart. The
	 * demand of one account rises to six times its usual, with prompts of up to a seventh
	 * of its burst. Nodes lend each other units, and one node restarts.
	 */
	@Property(tries = 200, seed = "20261204")
	void nodesThatLendUnitsKeepTheQuotaOfAHotAccount(@ForAll @LongRange(max = 1_000_000) long seed) {
		ClientAccount hot = new ClientAccount(ACCOUNT.name(), List.of("k"), OptionalInt.empty(),
				new AccountQuota(196_000, 392_000, true, 200));
		QuotaTolerance tolerance = new QuotaTolerance(0.1, 140_000, WINDOW_MILLIS);
		SplittableRandom random = new SplittableRandom(seed);
		int nodes = 9;
		List<QuotaLimiter> limiters = new ArrayList<>();
		List<Fleet> fleets = new ArrayList<>();
		for (int i = 0; i < nodes; i++) {
			limiters.add(new QuotaLimiter(tolerance, true));
			fleets.add(new Fleet(nodes));
		}
		long hotFromMillis = random.nextInt(4_000);
		long restartMillis = random.nextInt(8_000);
		double[] admittedUnits = new double[16_000 / 5];
		for (int step = 0; step < admittedUnits.length; step++) {
			long now = step * 5L;
			if (step == restartMillis / 5) {
				QuotaLimiter restarted = new QuotaLimiter(tolerance, false);
				restarted.restoreDemand(fleets.get(0).published, now);
				limiters.set(0, restarted);
			}
			if (now >= hotFromMillis || random.nextInt(6) == 0) {
				long cost = (random.nextInt(5) == 0) ? 3_000 + random.nextInt(18_000) + random.nextInt(2) * 35_000L
						: 300 + random.nextInt(2_500);
				int node = random.nextInt(nodes);
				admittedUnits[step] = isAdmitted(limiters, fleets, node, hot, cost, now) ? cost : 0;
			}
			exchange(limiters, fleets, now);
		}
		double bound = (196_000 * WINDOW_MILLIS / 1_000 + 392_000) * 1.1 + 140_000;
		assertThat(maxUnitsInAWindow(admittedUnits), lessThanOrEqualTo(bound));
	}

	private static boolean isAdmitted(List<QuotaLimiter> limiters, List<Fleet> fleets, int node, ClientAccount account,
			long cost, long now) {
		QuotaLimiter limiter = limiters.get(node);
		QuotaDecision decision = limiter.admit(account, cost, fleets.get(node), now);
		if (decision.isAdmitted()) {
			return true;
		}
		for (QuotaLimiter lender : limiters) {
			if (lender != limiter) {
				limiter.receive(account.name(), lender.lend(account, decision.missingUnits(), now));
			}
		}
		return limiter.retryAdmission(account, cost, fleets.get(node), now).isAdmitted();
	}

	private static double maxUnitsInAWindow(double[] admittedUnits) {
		int steps = (int) (WINDOW_MILLIS / 5);
		double sum = 0;
		double max = 0;
		for (int step = 0; step < admittedUnits.length; step++) {
			sum += admittedUnits[step] - ((step >= steps) ? admittedUnits[step - steps] : 0);
			max = Math.max(max, sum);
		}
		return max;
	}

	private static void exchange(List<QuotaLimiter> limiters, List<Fleet> fleets, long now) {
		for (int i = 0; i < limiters.size(); i++) {
			if (Math.floorMod(now - i * 225, 2_000) == 0) {
				fleets.get(i).published = limiters.get(i).createDemandReport(now);
			}
			if (Math.floorMod(now - i * 330, 1_500) == 0) {
				fleets.get(i).others.clear();
				for (Fleet other : fleets) {
					if (other != fleets.get(i)) {
						Map<String, Long> received = fleets.get(i).others;
						other.published.forEach((name, rate) -> received.merge(name, rate, Long::sum));
					}
				}
			}
		}
	}

	private static final class Fleet implements FleetDemand {

		private final int nodes;

		private final Map<String, Long> others = new HashMap<>();

		private Map<String, Long> published = Map.of();

		private Fleet(int nodes) {
			this.nodes = nodes;
		}

		@Override
		public int nodes() {
			return this.nodes;
		}

		@Override
		public double otherNodesUnitsPerSecond(String account) {
			return this.others.getOrDefault(account, 0L);
		}

	}

}
