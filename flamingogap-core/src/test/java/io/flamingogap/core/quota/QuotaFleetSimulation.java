package io.flamingogap.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.ClientAccount;

/**
 * Nodes that share the quota of one account, connected by messages that are delayed, lost
 * and doubled. Nodes learn of each other with a delay, remove silent nodes after 8
 * seconds, if they were in touch with the store for as long, and can be frozen, killed,
 * restarted and cut off.
 */
final class QuotaFleetSimulation {

	static final long WINDOW_MILLIS = 8_000;

	static final QuotaTolerance TOLERANCE = new QuotaTolerance(0.1, 140_000, WINDOW_MILLIS);

	private static final int TICK_MILLIS = 5;

	private static final int VIEW_MILLIS = 250;

	private static final int REPORT_MILLIS = 1_500;

	private static final int MAX_REPORT_DELAY_MILLIS = 2_700;

	private static final int REMOVAL_MILLIS = 8_000;

	/**
	 * How long a node takes from its start until it has read the reports of the others.
	 */
	private static final int MAX_LISTING_MILLIS = 400;

	/** Age of a last report from which a node isn't shown to callers any more. */
	private static final int SILENT_MILLIS = 4_500;

	private static final int REGIONS = 3;

	private final SplittableRandom random;

	private final List<SimulatedNode> nodes = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final TreeMap<Long, Long> admittedUnits = new TreeMap<>();

	private final Map<QuotaMember, StoredReport> storedReports = new HashMap<>();

	private final QuotaTolerance tolerance;

	private ClientAccount account;

	private double lossShare;

	private long storeAwayUntilMillis;

	private boolean membersFixed;

	private long nowMillis;

	private long eventNumber;

	private long asked;

	private long refused;

	private long messages;

	QuotaFleetSimulation(long seed, int nodeCount, AccountQuota quota) {
		this(seed, nodeCount, quota, TOLERANCE);
	}

	QuotaFleetSimulation(long seed, int nodeCount, AccountQuota quota, QuotaTolerance tolerance) {
		this.tolerance = tolerance;
		this.random = new SplittableRandom(seed);
		this.account = new ClientAccount("growers", List.of("k"), OptionalInt.empty(), quota);
		for (int i = 0; i < nodeCount; i++) {
			this.nodes.add(new SimulatedNode(i, HoldingStart.UNSPENT));
		}
		this.nodes.forEach((node) -> this.nodes.forEach((other) -> node.lastSeenMillis.put(other.member, 0L)));
		this.nodes.forEach((node) -> this.storedReports.put(node.member, new StoredReport(0, 1)));
		this.nodes.forEach(SimulatedNode::update);
	}

	SplittableRandom random() {
		return this.random;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	int size() {
		return this.nodes.size();
	}

	void setLossShare(double share) {
		this.lossShare = share;
	}

	/**
	 * Set whether all nodes keep knowing all others, without reports.
	 * @param fixed whether nodes exchange no reports
	 */
	void setMembersFixed(boolean fixed) {
		this.membersFixed = fixed;
	}

	void lowerQuota(double factor) {
		AccountQuota old = this.account.quota();
		this.account = new ClientAccount(this.account.name(), this.account.keys(), this.account.priority(),
				new AccountQuota(old.ratePerSecond() * factor, old.burst() * factor, old.countsTokens(),
						old.plainTokens()));
	}

	/**
	 * Let time pass.
	 * @param millis the duration in milliseconds
	 * @param onTick runs every 5 milliseconds
	 */
	void run(long millis, Runnable onTick) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += TICK_MILLIS;
			while (!this.events.isEmpty() && this.events.peek().atMillis <= this.nowMillis) {
				this.events.poll().task.run();
			}
			if (!this.membersFixed) {
				this.nodes.stream().filter(SimulatedNode::isRunning).forEach(SimulatedNode::exchangeReports);
			}
			onTick.run();
		}
	}

	private void later(long delayMillis, Runnable task) {
		this.events.add(new Event(this.nowMillis + delayMillis, this.eventNumber++, task));
	}

	/**
	 * Send a request of the account to a node.
	 * @param nodeIndex the node; a request to one that doesn't run is lost
	 * @param cost the units of the request
	 */
	void request(int nodeIndex, long cost) {
		SimulatedNode node = this.nodes.get(nodeIndex);
		if (!node.isRunning()) {
			return;
		}
		this.asked++;
		node.quotas.admit(this.account, cost, (decision, charge) -> {
			if (decision.isAdmitted()) {
				this.admittedUnits.merge(this.nowMillis, cost, Long::sum);
			}
			else {
				this.refused++;
			}
		}, this.nowMillis);
	}

	void freeze(int nodeIndex, long millis) {
		this.nodes.get(nodeIndex).frozenUntilMillis = this.nowMillis + millis;
	}

	void cutOff(int nodeIndex, long millis) {
		this.nodes.get(nodeIndex).cutUntilMillis = this.nowMillis + millis;
	}

	/**
	 * End the process of a node. The next one knows no more than the last report of each
	 * node that the store has.
	 * @param nodeIndex the node
	 * @param downMillis how long nothing runs
	 */
	void restart(int nodeIndex, long downMillis) {
		SimulatedNode next = new SimulatedNode(nodeIndex, HoldingStart.TAKEN_OVER);
		next.frozenUntilMillis = this.nowMillis + downMillis;
		next.listedAtMillis = Long.MAX_VALUE;
		next.lastUpdateMillis = next.frozenUntilMillis;
		this.nodes.get(nodeIndex).ended = true;
		this.nodes.set(nodeIndex, next);
		later(downMillis + this.random.nextInt(MAX_LISTING_MILLIS), next::listReports);
	}

	/**
	 * End the processes of some nodes at once. Each starts again.
	 * @param share the probability with which a node ends, up to 1
	 * @param downMillis how long nothing runs
	 * @param spreadMillis the maximum time between the first and the last start
	 */
	void loseNodes(double share, long downMillis, int spreadMillis) {
		for (int i = 0; i < this.nodes.size(); i++) {
			if (this.random.nextDouble() < share) {
				restart(i, downMillis + this.random.nextInt(spreadMillis + 1));
			}
		}
	}

	/**
	 * Let the store answer nobody.
	 * @param millis the duration in milliseconds
	 */
	void loseStore(long millis) {
		this.storeAwayUntilMillis = this.nowMillis + millis;
	}

	private boolean isStoreAway() {
		return this.nowMillis < this.storeAwayUntilMillis;
	}

	void addNode() {
		SimulatedNode node = new SimulatedNode(this.nodes.size(), HoldingStart.TAKEN_OVER);
		node.lastUpdateMillis = this.nowMillis;
		this.nodes.forEach((other) -> node.lastSeenMillis.put(other.member, this.nowMillis));
		this.nodes.add(node);
		node.update();
	}

	long maxUnitsInAWindow() {
		long max = 0;
		long sum = 0;
		TreeMap<Long, Long> window = new TreeMap<>();
		for (Map.Entry<Long, Long> entry : this.admittedUnits.entrySet()) {
			window.put(entry.getKey(), entry.getValue());
			sum += entry.getValue();
			while (window.firstKey() <= entry.getKey() - WINDOW_MILLIS) {
				sum -= window.pollFirstEntry().getValue();
			}
			max = Math.max(max, sum);
		}
		return max;
	}

	long unitsSince(long fromMillis) {
		return this.admittedUnits.tailMap(fromMillis).values().stream().mapToLong(Long::longValue).sum();
	}

	long refused() {
		return this.refused;
	}

	double refusedShare() {
		return (this.asked > 0) ? (double) this.refused / this.asked : 0;
	}

	double messagesPerRequest() {
		return (this.asked > 0) ? (double) this.messages / this.asked : 0;
	}

	private record Event(long atMillis, long number, Runnable task) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

	private final class StoredReport {

		private final long writtenAtMillis;

		private final long number;

		private StoredReport(long writtenAtMillis, long number) {
			this.writtenAtMillis = writtenAtMillis;
			this.number = number;
		}

		private long ageMillis() {
			return QuotaFleetSimulation.this.nowMillis - this.writtenAtMillis;
		}

	}

	private final class SimulatedNode implements QuotaPeers {

		private final QuotaMember member;

		private final long phaseMillis;

		private HoldingStart start;

		private final FleetQuotas quotas;

		private final Map<QuotaMember, Long> lastSeenMillis = new HashMap<>();

		private long frozenUntilMillis;

		private long cutUntilMillis;

		private long lastUpdateMillis;

		private long listedAtMillis = Long.MIN_VALUE / 2;

		private long reports;

		private boolean ended;

		private SimulatedNode(int index, HoldingStart start) {
			this.member = new QuotaMember("node-" + index, "zone-" + index % (2 * REGIONS),
					"region-" + index % REGIONS);
			this.phaseMillis = QuotaFleetSimulation.this.random.nextInt(REPORT_MILLIS / TICK_MILLIS) * TICK_MILLIS;
			this.start = start;
			this.quotas = new FleetQuotas(this.member, QuotaFleetSimulation.this.tolerance, this,
					(name) -> Optional.of(QuotaFleetSimulation.this.account),
					QuotaFleetSimulation.this.random.nextLong(Long.MAX_VALUE / 2));
			this.lastSeenMillis.put(this.member, Long.MAX_VALUE / 2);
		}

		private boolean isRunning() {
			return !this.ended && QuotaFleetSimulation.this.nowMillis >= this.frozenUntilMillis;
		}

		private boolean isCut() {
			return QuotaFleetSimulation.this.nowMillis < this.cutUntilMillis;
		}

		private void exchangeReports() {
			long phaseMillis = QuotaFleetSimulation.this.nowMillis + this.phaseMillis;
			if (phaseMillis % REPORT_MILLIS == 0 && !isCut() && !isStoreAway() && isListed()) {
				writeReport();
				QuotaFleetSimulation.this.nodes.forEach((other) -> {
					long delayMillis = QuotaFleetSimulation.this.random.nextInt(MAX_REPORT_DELAY_MILLIS);
					later(delayMillis, () -> {
						if (!other.isCut()) {
							other.lastSeenMillis.merge(this.member, QuotaFleetSimulation.this.nowMillis, Math::max);
						}
					});
				});
			}
			if (phaseMillis % VIEW_MILLIS == 0 && isListed()) {
				update();
			}
		}

		private void writeReport() {
			this.reports++;
			QuotaFleetSimulation.this.storedReports.put(this.member,
					new StoredReport(QuotaFleetSimulation.this.nowMillis, this.reports));
		}

		private boolean isListed() {
			return QuotaFleetSimulation.this.nowMillis >= this.listedAtMillis;
		}

		private void listReports() {
			if (this.ended) {
				return;
			}
			if (isStoreAway()) {
				later(QuotaFleetSimulation.this.storeAwayUntilMillis - QuotaFleetSimulation.this.nowMillis,
						this::listReports);
				return;
			}
			long now = QuotaFleetSimulation.this.nowMillis;
			this.listedAtMillis = now;
			this.start = startAfterRestart();
			QuotaFleetSimulation.this.storedReports.forEach((other, report) -> {
				if (!other.equals(this.member)) {
					this.lastSeenMillis.put(other, report.writtenAtMillis);
				}
			});
			writeReport();
			update();
		}

		private HoldingStart startAfterRestart() {
			StoredReport previous = QuotaFleetSimulation.this.storedReports.get(this.member);
			OptionalLong previousReports = (previous != null && previous.ageMillis() < REMOVAL_MILLIS)
					? OptionalLong.of(previous.number) : OptionalLong.empty();
			List<Long> otherReports = QuotaFleetSimulation.this.storedReports.entrySet()
				.stream()
				.filter((entry) -> !entry.getKey().equals(this.member) && entry.getValue().ageMillis() <= SILENT_MILLIS)
				.map((entry) -> entry.getValue().number)
				.toList();
			return HoldingStart.afterRestart(previousReports, otherReports);
		}

		private void update() {
			long now = QuotaFleetSimulation.this.nowMillis;
			if (now - this.lastUpdateMillis > REMOVAL_MILLIS / 2) {
				this.quotas.recordInterruption(now);
				this.lastSeenMillis.replaceAll((other, seen) -> Math.max(seen, now));
			}
			this.lastUpdateMillis = now;
			long disturbedUntilMillis = Math.max(this.listedAtMillis,
					Math.max(this.cutUntilMillis, QuotaFleetSimulation.this.storeAwayUntilMillis));
			if (now - disturbedUntilMillis > REMOVAL_MILLIS) {
				this.lastSeenMillis.values().removeIf((seen) -> now - seen > REMOVAL_MILLIS);
			}
			Set<QuotaMember> members = this.lastSeenMillis.keySet().stream().collect(Collectors.toSet());
			this.quotas.update(members, List.of(QuotaFleetSimulation.this.account), this.start, now);
		}

		@Override
		public void send(String node, QuotaMessage message) {
			QuotaFleetSimulation.this.messages++;
			deliver(node, message);
			if (QuotaFleetSimulation.this.random.nextInt(20) == 0) {
				deliver(node, message);
			}
		}

		private void deliver(String node, QuotaMessage message) {
			if (QuotaFleetSimulation.this.random.nextDouble() < QuotaFleetSimulation.this.lossShare || isCut()) {
				return;
			}
			long delayMillis = 1 + QuotaFleetSimulation.this.random.nextInt(30);
			later(delayMillis,
					() -> QuotaFleetSimulation.this.nodes.stream()
						.filter((other) -> other.member.node().equals(node) && other.isRunning() && !other.isCut())
						.forEach((other) -> other.quotas.receive(this.member.node(), message,
								QuotaFleetSimulation.this.nowMillis)));
		}

		@Override
		public void schedule(long delayMillis, LongConsumer task) {
			later(delayMillis, () -> runWhenRunning(task));
		}

		private void runWhenRunning(LongConsumer task) {
			if (isRunning()) {
				task.accept(QuotaFleetSimulation.this.nowMillis);
			}
			else if (!this.ended) {
				later(Math.max(1, this.frozenUntilMillis - QuotaFleetSimulation.this.nowMillis),
						() -> runWhenRunning(task));
			}
		}

	}

}
