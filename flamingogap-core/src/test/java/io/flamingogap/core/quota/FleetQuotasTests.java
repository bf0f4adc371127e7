package io.flamingogap.core.quota;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.ClientAccount;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link FleetQuotas}: an account within its quota isn't refused because its
 * units are at other nodes, and the nodes together never admit more than the quota with
 * its tolerance.
 */
class FleetQuotasTests {

	/** A mean account of the users' large site: 1.8 times its mean demand. */
	private static final AccountQuota MEAN_ACCOUNT = new AccountQuota(126_000, 252_000, true, 200);

	/** An account whose share at a holder is less than one long prompt. */
	private static final AccountQuota SMALL_ACCOUNT = new AccountQuota(27_000, 54_000, true, 200);

	private static final long LONG_PROMPT = 12_000;

	private static final ClientAccount ACCOUNT = new ClientAccount("growers", List.of("k"), OptionalInt.empty(),
			MEAN_ACCOUNT);

	private static long promptCost(SplittableRandom random) {
		return (random.nextInt(5) < 2) ? LONG_PROMPT / 2 + random.nextLong(LONG_PROMPT) : 300 + random.nextLong(2_500);
	}

	/**
	 * Sends requests to random nodes at a mean rate.
	 */
	private static void sendAtRate(QuotaFleetSimulation fleet, double unitsPerSecond) {
		double meanCost = 0.4 * LONG_PROMPT + 0.6 * 1_550;
		if (fleet.random().nextDouble() < unitsPerSecond / meanCost * 0.005) {
			fleet.request(fleet.random().nextInt(fleet.size()), promptCost(fleet.random()));
		}
	}

	private static double bound(AccountQuota quota) {
		return bound(quota, 140_000);
	}

	private static double bound(AccountQuota quota, double extraTokens) {
		return (quota.ratePerSecond() * QuotaFleetSimulation.WINDOW_MILLIS / 1_000 + quota.burst()) * 1.1 + extraTokens;
	}

	@Test
	void accountWithoutALimitIsAlwaysAdmitted() {
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(1, 3, AccountQuota.UNLIMITED);
		fleet.request(0, 1_000_000);
		assertThat(fleet.unitsSince(0), is(1_000_000L));
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 8, 95, 330 })
	void accountWithinItsQuotaIsNotRefusedAtAnySize(int nodes) {
		for (AccountQuota quota : List.of(MEAN_ACCOUNT, SMALL_ACCOUNT)) {
			QuotaFleetSimulation fleet = new QuotaFleetSimulation(nodes, nodes, quota);
			fleet.setMembersFixed(true);
			fleet.run(600_000, () -> sendAtRate(fleet, quota.ratePerSecond() / 1.8));
			assertThat(fleet.refusedShare(), lessThan(0.005));
			assertThat("two messages a request, and few more", fleet.messagesPerRequest(), lessThan(2.5));
		}
	}

	@Test
	void lossOfOneHolderLeavesAnAccountWithinItsQuotaServed() {
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(3, 95, MEAN_ACCOUNT);
		int holder = holderIndex(95);
		fleet.run(5_000, () -> sendAtRate(fleet, MEAN_ACCOUNT.ratePerSecond() / 1.8));
		fleet.freeze(holder, 20_000);
		fleet.run(30_000, () -> sendAtRate(fleet, MEAN_ACCOUNT.ratePerSecond() / 1.8));
		assertThat(fleet.refusedShare(), lessThan(0.01));
	}

	private static int holderIndex(int nodes) {
		QuotaHolderSelector selector = new QuotaHolderSelector();
		List<QuotaMember> members = IntStream.range(0, nodes)
			.mapToObj((i) -> new QuotaMember("node-" + i, "zone-" + i % 6, "region-" + i % 3))
			.toList();
		return members.indexOf(selector.select("growers", members).get(0));
	}

	@Test
	void restartOfAllNodesLeavesAnAccountServedAtOnce() {
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(4, 20, MEAN_ACCOUNT);
		fleet.run(5_000, () -> sendAtRate(fleet, MEAN_ACCOUNT.ratePerSecond() / 1.8));
		for (int i = 0; i < 20; i++) {
			fleet.restart(i, 2_000);
		}
		fleet.run(2_000, () -> {
		});
		long restartedMillis = fleet.nowMillis();
		fleet.run(4_000, () -> sendAtRate(fleet, MEAN_ACCOUNT.ratePerSecond() / 1.8));
		assertThat(fleet.unitsSince(restartedMillis) > 4 * MEAN_ACCOUNT.ratePerSecond() / 1.8 * 0.7, is(true));
	}

	// A loss of all nodes ended with refusals for as long as any node took to start.
	@ParameterizedTest
	@ValueSource(ints = { 1, 6, 59, 330 })
	void accountWithinItsQuotaIsNotRefusedAfterTheLossOfAllNodes(int nodes) {
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(nodes, nodes, MEAN_ACCOUNT);
		double unitsPerSecond = MEAN_ACCOUNT.ratePerSecond() / 1.8;
		fleet.run(9_000, () -> sendAtRate(fleet, unitsPerSecond));
		long refusedBefore = fleet.refused();
		fleet.loseNodes(1, 640, 600);
		fleet.run(2_000, () -> sendAtRate(fleet, unitsPerSecond));
		assertThat(fleet.refused() - refusedBefore, is(0L));
	}

	@Test
	void accountWithinItsQuotaIsNotRefusedAfterTwoLossesInOneWindow() {
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(5, 20, MEAN_ACCOUNT);
		double unitsPerSecond = MEAN_ACCOUNT.ratePerSecond() / 1.8;
		fleet.run(9_000, () -> sendAtRate(fleet, unitsPerSecond));
		long refusedBefore = fleet.refused();
		for (int i = 0; i < 2; i++) {
			fleet.loseNodes(1, 640, 600);
			fleet.run(3_000, () -> sendAtRate(fleet, unitsPerSecond));
		}
		assertThat(fleet.refused() - refusedBefore, is(0L));
	}

	/**
	 * Guards against units that are spent again after losses of all or many nodes, also
	 * several times within one window and while the store is away.
	 */
	@Property(tries = 200, seed = "20261206")
	void lossesOfManyNodesKeepTheQuotaOfAHotAccount(@ForAll @LongRange(max = 1_000_000) long seed) {
		AccountQuota quota = (seed % 2 == 0) ? MEAN_ACCOUNT : SMALL_ACCOUNT;
		int nodes = List.of(1, 6, 18, 59).get((int) (seed / 2 % 4));
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(seed, nodes, quota);
		fleet.setLossShare(0.005);
		fleet.run(30_000, () -> {
			sendAtRate(fleet, 6 * quota.ratePerSecond());
			loseNodesAtTimes(fleet);
		});
		assertThat((double) fleet.maxUnitsInAWindow(), lessThanOrEqualTo(bound(quota)));
	}

	@Property(tries = 100, seed = "20261206")
	void lossesOfManyNodesKeepAQuotaOfRequests(@ForAll @LongRange(max = 1_000_000) long seed) {
		AccountQuota quota = new AccountQuota(200, (seed % 2 == 0) ? 400 : 50, false, 1);
		QuotaTolerance tolerance = new QuotaTolerance(0.1, 0, QuotaFleetSimulation.WINDOW_MILLIS);
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(seed, (seed % 3 == 0) ? 6 : 40, quota, tolerance);
		fleet.run(30_000, () -> {
			for (int i = 0; i < 5; i++) {
				fleet.request(fleet.random().nextInt(fleet.size()), 1);
			}
			loseNodesAtTimes(fleet);
		});
		assertThat((double) fleet.maxUnitsInAWindow(), lessThanOrEqualTo(bound(quota, 0)));
	}

	@Property(tries = 4, seed = "20261206")
	void lossOfAllOf330NodesKeepsTheQuota(@ForAll @LongRange(max = 1_000_000) long seed) {
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(seed, 330, MEAN_ACCOUNT);
		fleet.run(16_000, () -> {
			sendAtRate(fleet, 6 * MEAN_ACCOUNT.ratePerSecond());
			if (fleet.nowMillis() == 8_000 || fleet.nowMillis() == 11_000) {
				fleet.loseNodes(1, 640, 600);
			}
		});
		assertThat((double) fleet.maxUnitsInAWindow(), lessThanOrEqualTo(bound(MEAN_ACCOUNT)));
	}

	private static void loseNodesAtTimes(QuotaFleetSimulation fleet) {
		SplittableRandom random = fleet.random();
		if (random.nextInt(600) == 0) {
			double share = random.nextBoolean() ? 1 : random.nextDouble();
			fleet.loseNodes(share, random.nextLong(500, 2_000), 600);
		}
		if (random.nextInt(2_000) == 0) {
			fleet.loseStore(random.nextLong(500, 5_000));
		}
	}

	/**
	 * Guards against units that are spent by two holders or counted twice. The demand is
	 * six times the quota, while messages are lost, delayed and doubled, and nodes are
	 * frozen, cut off, restarted and added.
	 */
	@Property(tries = 300, seed = "20261204")
	void nodesTogetherKeepTheQuotaOfAHotAccount(@ForAll @LongRange(max = 1_000_000) long seed) {
		AccountQuota quota = (seed % 2 == 0) ? MEAN_ACCOUNT : SMALL_ACCOUNT;
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(seed, 3 + (int) (seed % 20), quota);
		fleet.setLossShare((seed % 3 == 0) ? 0.1 : 0.005);
		fleet.run(30_000, () -> {
			sendAtRate(fleet, 6 * quota.ratePerSecond());
			if (fleet.random().nextInt(400) == 0) {
				disturb(fleet);
			}
		});
		assertThat((double) fleet.maxUnitsInAWindow(), lessThanOrEqualTo(bound(quota)));
	}

	private static void disturb(QuotaFleetSimulation fleet) {
		SplittableRandom random = fleet.random();
		int node = random.nextInt(fleet.size());
		switch (random.nextInt(4)) {
			case 0 -> fleet.freeze(node, random.nextLong(500, 14_000));
			case 1 -> fleet.cutOff(node, random.nextLong(500, 14_000));
			case 2 -> fleet.restart(node, random.nextLong(500, 3_000));
			default -> fleet.addNode();
		}
	}

	@Property(tries = 100, seed = "20261204")
	void loweredQuotaIsKeptAfterOneWindow(@ForAll @LongRange(max = 1_000_000) long seed) {
		QuotaFleetSimulation fleet = new QuotaFleetSimulation(seed, 9, MEAN_ACCOUNT);
		fleet.run(9_000, () -> sendAtRate(fleet, 6 * MEAN_ACCOUNT.ratePerSecond()));
		fleet.lowerQuota(0.4);
		fleet.run(500, () -> sendAtRate(fleet, 6 * MEAN_ACCOUNT.ratePerSecond()));
		long fromMillis = fleet.nowMillis();
		fleet.run(QuotaFleetSimulation.WINDOW_MILLIS, () -> sendAtRate(fleet, 6 * MEAN_ACCOUNT.ratePerSecond()));
		AccountQuota lowered = new AccountQuota(MEAN_ACCOUNT.ratePerSecond() * 0.4, MEAN_ACCOUNT.burst() * 0.4, true,
				200);
		assertThat((double) fleet.unitsSince(fromMillis), lessThanOrEqualTo(bound(lowered)));
	}

	@Test
	void doubledAnswersAndRefundsCountOnce() {
		RecordingPeers peers = new RecordingPeers();
		QuotaMember self = new QuotaMember("self", "z", "r");
		FleetQuotas holder = new FleetQuotas(self, QuotaFleetSimulation.TOLERANCE, peers,
				(name) -> Optional.of(ACCOUNT), 1);
		holder.update(Set.of(self), List.of(ACCOUNT), HoldingStart.UNSPENT, 0);
		holder.receive("other", new QuotaMessage.Charge(7, "growers", 250_000), 0);
		holder.receive("other", new QuotaMessage.Refund(7, "growers", 100_000), 0);
		holder.receive("other", new QuotaMessage.Refund(7, "growers", 100_000), 0);
		holder.receive("other", new QuotaMessage.Charge(8, "growers", 1), 0);
		assertThat(((QuotaMessage.Verdict) peers.sent.get(1)).availableUnits(), is(102_000L));
	}

	@Test
	void unitsOfAnAnswerThatComesTooLateAreReturnedOnce() {
		RecordingPeers peers = new RecordingPeers();
		FleetQuotas asker = createAsker(peers);
		List<QuotaDecision> decisions = new ArrayList<>();
		asker.admit(ACCOUNT, LONG_PROMPT, (decision, charge) -> decisions.add(decision), 0);
		long decidedAtMillis = peers.runTasksUntil(() -> !decisions.isEmpty());
		assertThat(decisions.get(0).isAdmitted(), is(false));
		long firstId = ((QuotaMessage.Charge) peers.sent.get(0)).id();
		int sentBefore = peers.sent.size();
		asker.receive("a", new QuotaMessage.Verdict(firstId, true, 0, 0, 50_000), decidedAtMillis + 100);
		asker.receive("a", new QuotaMessage.Verdict(firstId, true, 0, 0, 50_000), decidedAtMillis + 100);
		assertThat(peers.sent.subList(sentBefore, peers.sent.size()),
				is(List.of(new QuotaMessage.Refund(firstId, "growers", LONG_PROMPT))));
	}

	@Test
	void requestsThatNoHolderAnswersAreRefusedInTimeAndAskLittle() {
		RecordingPeers peers = new RecordingPeers();
		FleetQuotas asker = createAsker(peers);
		List<QuotaDecision> decisions = new ArrayList<>();
		for (int i = 0; i < 1_000; i++) {
			asker.admit(ACCOUNT, LONG_PROMPT, (decision, charge) -> decisions.add(decision), 0);
		}
		assertThat(peers.runTasksUntil(() -> decisions.size() == 1_000),
				lessThanOrEqualTo(WaitingInquiries.MAX_WAIT_MILLIS + 400));
		assertThat(decisions.stream().noneMatch(QuotaDecision::isAdmitted), is(true));
		assertThat("three questions for each, and few more", peers.sent.size(), lessThan(3_000 + 30));
	}

	@Test
	void requestBeforeTheFirstUpdateWaitsForIt() {
		RecordingPeers peers = new RecordingPeers();
		QuotaMember self = new QuotaMember("self", "z", "r");
		FleetQuotas quotas = new FleetQuotas(self, QuotaFleetSimulation.TOLERANCE, peers,
				(name) -> Optional.of(ACCOUNT), 1);
		List<QuotaDecision> decisions = new ArrayList<>();
		quotas.admit(ACCOUNT, LONG_PROMPT, (decision, charge) -> decisions.add(decision), 0);
		quotas.admit(ACCOUNT, LONG_PROMPT, (decision, charge) -> decisions.add(decision), 0);
		assertThat(decisions.isEmpty(), is(true));
		quotas.update(Set.of(self), List.of(ACCOUNT), HoldingStart.RESTARTED, 300);
		assertThat(decisions.stream().map(QuotaDecision::isAdmitted).toList(), is(List.of(true, true)));
	}

	@Test
	void waitingRequestThatGetsALateRefusalAsksAgain() {
		RecordingPeers peers = new RecordingPeers();
		FleetQuotas asker = createAsker(peers);
		List<QuotaDecision> decisions = new ArrayList<>();
		asker.admit(ACCOUNT, LONG_PROMPT, (decision, charge) -> decisions.add(decision), 0);
		long firstId = peers.lastCharge().id();
		peers.runTasksUntil(() -> peers.nowMillis >= 3 * FleetQuotas.ANSWER_TIMEOUT_MILLIS);
		int askedBefore = peers.sent.size();
		asker.receive("a", new QuotaMessage.Verdict(firstId, true, 50, 10, 0), peers.nowMillis);
		assertThat(peers.sent.size(), is(askedBefore + 1));
		asker.receive("a", new QuotaMessage.Verdict(peers.lastCharge().id(), true, 0, 0, 0), peers.nowMillis);
		assertThat(decisions.get(0).isAdmitted(), is(true));
	}

	// A node that was short of processor time took answers that it had not read for
	// missing.
	@Test
	void answerThatArrivedWhileTheNodeDidNotRunCounts() {
		RecordingPeers peers = new RecordingPeers();
		FleetQuotas asker = createAsker(peers);
		List<QuotaDecision> decisions = new ArrayList<>();
		asker.admit(ACCOUNT, LONG_PROMPT, (decision, charge) -> decisions.add(decision), 0);
		peers.runLate(300);
		asker.receive("a", new QuotaMessage.Verdict(peers.lastCharge().id(), true, 0, 0, 0), 301);
		assertThat(decisions.get(0).isAdmitted(), is(true));
		assertThat("no other holder was asked", peers.sent.size(), is(1));
	}

	@Test
	void unitsThatNoSingleHolderHasAreCollected() {
		RecordingPeers peers = new RecordingPeers();
		FleetQuotas asker = createAsker(peers);
		List<QuotaDecision> decisions = new ArrayList<>();
		asker.admit(ACCOUNT, 40_000, (decision, charge) -> decisions.add(decision), 0);
		while (peers.lastCharge().units() == 40_000) {
			asker.receive("a", new QuotaMessage.Verdict(peers.lastCharge().id(), true, 500, 25_000, 15_000), 10);
		}
		List<QuotaMessage.Charge> parts = peers.chargesBelow(40_000);
		assertThat(parts.stream().mapToLong(QuotaMessage.Charge::units).sum(), is(40_000L));
		parts.forEach((part) -> asker.receive("a", new QuotaMessage.Verdict(part.id(), true, 0, 0, 15_000), 20));
		assertThat(decisions.get(0).isAdmitted(), is(true));
	}

	@Test
	void collectedUnitsAreReturnedIfOneHolderRefuses() {
		RecordingPeers peers = new RecordingPeers();
		FleetQuotas asker = createAsker(peers);
		List<QuotaDecision> decisions = new ArrayList<>();
		asker.admit(ACCOUNT, 40_000, (decision, charge) -> decisions.add(decision), 0);
		while (peers.lastCharge().units() == 40_000) {
			asker.receive("a", new QuotaMessage.Verdict(peers.lastCharge().id(), true, 500, 25_000, 15_000), 10);
		}
		List<QuotaMessage.Charge> parts = peers.chargesBelow(40_000);
		asker.receive("a", new QuotaMessage.Verdict(parts.get(0).id(), true, 0, 0, 15_000), 20);
		asker.receive("a", new QuotaMessage.Verdict(parts.get(1).id(), true, 400, 5_000, 9_000), 20);
		asker.receive("a", new QuotaMessage.Verdict(parts.get(2).id(), true, 0, 0, 15_000), 20);
		assertThat(decisions.get(0).isAdmitted(), is(false));
		assertThat(peers.sent.subList(peers.sent.size() - 2, peers.sent.size()),
				is(List.of(new QuotaMessage.Refund(parts.get(0).id(), "growers", parts.get(0).units()),
						new QuotaMessage.Refund(parts.get(2).id(), "growers", parts.get(2).units()))));
	}

	/**
	 * Create a node that holds no share itself.
	 * @param peers receives its messages
	 * @return the node, which knows three holders
	 */
	private static FleetQuotas createAsker(RecordingPeers peers) {
		Set<QuotaMember> others = Set.of(new QuotaMember("a", "z1", "r1"), new QuotaMember("b", "z2", "r2"),
				new QuotaMember("c", "z3", "r3"));
		QuotaMember self = IntStream.range(0, 100)
			.mapToObj((i) -> new QuotaMember("self-" + i, "z1", "r1"))
			.filter((member) -> !isHolder(member, others))
			.findFirst()
			.orElseThrow();
		FleetQuotas asker = new FleetQuotas(self, QuotaFleetSimulation.TOLERANCE, peers, (name) -> Optional.of(ACCOUNT),
				1);
		asker.update(withMember(others, self), List.of(ACCOUNT), HoldingStart.UNSPENT, 0);
		return asker;
	}

	private static boolean isHolder(QuotaMember member, Set<QuotaMember> others) {
		return new QuotaHolderSelector().select(ACCOUNT.name(), withMember(others, member)).contains(member);
	}

	private static Set<QuotaMember> withMember(Set<QuotaMember> others, QuotaMember member) {
		Set<QuotaMember> members = new HashSet<>(others);
		members.add(member);
		return members;
	}

	private static final class RecordingPeers implements QuotaPeers {

		private final List<QuotaMessage> sent = new ArrayList<>();

		private final TreeMap<Long, List<LongConsumer>> tasks = new TreeMap<>();

		private long nowMillis;

		/**
		 * Let time pass from task to task.
		 * @param condition ends it
		 * @return the time of the last task in milliseconds
		 */
		private long runTasksUntil(BooleanSupplier condition) {
			while (!condition.getAsBoolean()) {
				Map.Entry<Long, List<LongConsumer>> next = this.tasks.pollFirstEntry();
				this.nowMillis = next.getKey();
				next.getValue().forEach((task) -> task.accept(this.nowMillis));
			}
			return this.nowMillis;
		}

		/**
		 * Run the next tasks when they are long due.
		 * @param lateMillis the time at which they run
		 */
		private void runLate(long lateMillis) {
			this.nowMillis = lateMillis;
			this.tasks.pollFirstEntry().getValue().forEach((task) -> task.accept(lateMillis));
		}

		private QuotaMessage.Charge lastCharge() {
			return (QuotaMessage.Charge) this.sent.get(this.sent.size() - 1);
		}

		private List<QuotaMessage.Charge> chargesBelow(long units) {
			return this.sent.stream()
				.filter(QuotaMessage.Charge.class::isInstance)
				.map(QuotaMessage.Charge.class::cast)
				.filter((charge) -> charge.units() < units)
				.toList();
		}

		@Override
		public void send(String node, QuotaMessage message) {
			this.sent.add(message);
		}

		@Override
		public void schedule(long delayMillis, LongConsumer task) {
			this.tasks.computeIfAbsent(this.nowMillis + delayMillis, (at) -> new ArrayList<>()).add(task);
		}

	}

}
