package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.servers.ColdStartLimiter.Permit;
import io.flamingogap.core.serving.ColdStart;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Property test that simulates nodes with a {@link ColdStartLimiter} each, which learn of
 * each other from reports in a store. Nodes start, leave, are killed, freeze and are cut
 * off from the store; the store is down; answers arrive late or tell an old state; clocks
 * differ. All nodes always have requests for the cold servers.
 */
class ColdStartLimiterPropertyTests {

	private static final int TICK_MILLIS = 50;

	private static final long UPDATE_MILLIS = 250;

	private static final long REPORT_MILLIS = 1_500;

	/** Nodes remove others that are silent for so long. */
	private static final long REMOVAL_MILLIS = 8_000;

	/** A read, and a call, takes so long at most, and otherwise fails. */
	private static final long MAX_CALL_MILLIS = 1_700;

	/** The greatest age that a node which reads for others tells. */
	private static final long MAX_RELAY_AGE_MILLIS = 2_000;

	private static final long DURATION_MILLIS = 45_000;

	private static final double[] RATES = { 0.5, 1, 3.7, 11, 40, 100 };

	/** The smallest factor and addition that the users' rule may have. */
	private static final double RULE_FACTOR = 1.5;

	private static final double RULE_ADDITION = 5;

	@Property(tries = 1_000, seed = "20261206")
	void coldServersAreSentNoMoreThanTheyTolerate(@ForAll @LongRange(max = 10_000_000) long seed) {
		Simulation simulation = new Simulation(seed, true);
		simulation.run();
		for (List<Long> sent : simulation.sentByServer.values()) {
			long most = mostWithinASecond(sent);
			assertThat("seed " + seed, (double) most,
					lessThanOrEqualTo(simulation.coldStart.requestsPerSecond() * RULE_FACTOR + RULE_ADDITION));
			assertThat("seed " + seed, (double) most,
					lessThanOrEqualTo(Math.max(1, Math.floor(simulation.coldStart.requestsPerSecond()))));
		}
	}

	@Property(tries = 30, seed = "20261206")
	void undisturbedNodesSendAsMuchAsColdServersTolerate(@ForAll @LongRange(max = 10_000_000) long seed) {
		Simulation simulation = new Simulation(seed, false);
		simulation.run();
		for (List<Long> sent : simulation.sentByServer.values()) {
			long settled = sent.stream().filter((time) -> time >= DURATION_MILLIS / 2).count();
			double rate = settled * 2_000.0 / DURATION_MILLIS;
			assertThat("seed " + seed, rate, greaterThanOrEqualTo(0.75 * simulation.coldStart.requestsPerSecond()));
		}
	}

	private static long mostWithinASecond(List<Long> sent) {
		List<Long> sorted = sent.stream().sorted().toList();
		int most = 0;
		int first = 0;
		for (int last = 0; last < sorted.size(); last++) {
			while (sorted.get(last) - sorted.get(first) >= 1_000) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	private record StoredReport(long storedAtMillis, String node, String zone, boolean serving) {
	}

	private record Interval(long fromMillis, long toMillis) {

		private boolean contains(long millis) {
			return millis >= this.fromMillis && millis < this.toMillis;
		}

	}

	private static final class Simulation {

		private final SplittableRandom random;

		private final boolean disturbed;

		private final List<StoredReport> log = new ArrayList<>();

		private final List<Node> nodes = new ArrayList<>();

		private final List<ServerRegistration> servers = new ArrayList<>();

		private final Map<String, List<Long>> sentByServer = new TreeMap<>();

		private final ColdStart coldStart;

		private final Interval storeDown;

		/** In some fleets, nodes start while the first one is frozen. */
		private final Interval freezeOfTheFirst;

		Simulation(long seed, boolean disturbed) {
			this.random = new SplittableRandom(seed);
			this.disturbed = disturbed;
			this.coldStart = new ColdStart(3_000, RATES[this.random.nextInt(RATES.length)]);
			this.freezeOfTheFirst = (disturbed && this.random.nextInt(4) == 0)
					? intervalOf(10_000 + this.random.nextLong(10_000), 3_000 + this.random.nextLong(5_000))
					: new Interval(0, 0);
			int zones = 1 + this.random.nextInt(4);
			// Most fleets are small, as each pair of nodes is simulated.
			int count = 1 + this.random.nextInt((this.random.nextInt(100) == 0) ? 330 : 6);
			for (int i = 0; i < count; i++) {
				this.nodes.add(new Node(this, "node-" + i, "z" + this.random.nextInt(zones)));
			}
			for (int i = 0; i < 2; i++) {
				ServerRegistration server = new ServerRegistration("server-" + i, "engine",
						Address.parse("10.0.0.1:80"), "z" + this.random.nextInt(zones), "v1", 8, false, false, 1, 1);
				this.servers.add(server);
				this.sentByServer.put(server.id(), new ArrayList<>());
			}
			this.storeDown = (disturbed && this.random.nextInt(3) == 0) ? randomInterval(12_000) : new Interval(0, 0);
		}

		private static Interval intervalOf(long fromMillis, long lengthMillis) {
			return new Interval(fromMillis, fromMillis + lengthMillis);
		}

		private Interval randomInterval(int maxLength) {
			long from = this.random.nextLong(DURATION_MILLIS);
			return new Interval(from, from + this.random.nextInt(maxLength));
		}

		private void run() {
			for (long now = 0; now < DURATION_MILLIS; now += TICK_MILLIS) {
				for (Node node : this.nodes) {
					node.tick(now);
				}
			}
		}

	}

	private static final class Node {

		private final Simulation simulation;

		private final SplittableRandom random;

		private final String name;

		private final String zone;

		private final long startsAtMillis;

		private final long readyAfterMillis;

		private final Interval dead;

		private final Interval frozen;

		private final Interval cutOff;

		private final Interval reportsRefused;

		private final Interval readsRefused;

		private final long relistsAtMillis;

		private final long leavesAtMillis;

		private final long clockErrorMillis;

		private Run run;

		Node(Simulation simulation, String name, String zone) {
			this.simulation = simulation;
			this.random = simulation.random.split();
			this.name = name;
			this.zone = zone;
			boolean disturbed = simulation.disturbed;
			boolean isFirst = simulation.nodes.isEmpty();
			long freezeFromMillis = simulation.freezeOfTheFirst.fromMillis;
			long startsAt = (disturbed && oneIn(3)) ? this.random.nextLong(DURATION_MILLIS)
					: this.random.nextLong(2_000);
			this.startsAtMillis = (freezeFromMillis > 0 && !isFirst && oneIn(2))
					? freezeFromMillis - 2_000 + this.random.nextLong(3_000) : startsAt;
			this.readyAfterMillis = this.random.nextLong(1_000);
			this.dead = (disturbed && oneIn(4)) ? simulation.randomInterval(15_000) : new Interval(0, 0);
			this.frozen = (isFirst && freezeFromMillis > 0) ? simulation.freezeOfTheFirst
					: (disturbed && oneIn(3)) ? simulation.randomInterval(14_000) : new Interval(0, 0);
			this.cutOff = (disturbed && oneIn(3)) ? simulation.randomInterval(14_000) : new Interval(0, 0);
			this.reportsRefused = (disturbed && oneIn(4)) ? simulation.randomInterval(14_000) : new Interval(0, 0);
			this.readsRefused = (disturbed && oneIn(4)) ? simulation.randomInterval(14_000) : new Interval(0, 0);
			this.relistsAtMillis = (disturbed && oneIn(3)) ? this.random.nextLong(DURATION_MILLIS) : Long.MAX_VALUE;
			this.leavesAtMillis = (disturbed && oneIn(5)) ? this.random.nextLong(DURATION_MILLIS) : Long.MAX_VALUE;
			this.clockErrorMillis = (disturbed && oneIn(3)) ? this.random.nextLong(-20_000, 20_000) : 0;
			this.run = new Run(this);
		}

		private boolean oneIn(int number) {
			return this.random.nextInt(number) == 0;
		}

		private void tick(long now) {
			if (now < this.startsAtMillis) {
				return;
			}
			if (this.dead.contains(now)) {
				this.run = new Run(this);
				return;
			}
			if (this.frozen.contains(now)) {
				return;
			}
			this.run.tick(now);
		}

	}

	/**
	 * What one run of a node's process knows.
	 */
	private static final class Run {

		private final Node node;

		private final SplittableRandom random;

		private final ColdStartLimiter limiter;

		private final Map<String, StoredReport> known = new HashMap<>();

		private final Map<String, Long> reportedAtMillis = new HashMap<>();

		private int position;

		private boolean listed;

		private boolean isListing;

		private boolean relisted;

		private boolean isReadPending;

		private long readArrivesAtMillis;

		private int readPosition;

		private long readAgeMillis;

		private boolean readFails;

		private long contactAtMillis = ColdStartView.NEVER;

		private long disruptedAtMillis = ColdStartView.NEVER;

		private @Nullable Long firstTickAtMillis;

		private long nextReportAtMillis = Long.MIN_VALUE;

		private long nextUpdateAtMillis = Long.MIN_VALUE;

		private long acceptedReportAtMillis = ColdStartView.NEVER;

		private final List<long[]> pendingReports = new ArrayList<>();

		private final List<Permit> misdirected = new ArrayList<>();

		Run(Node node) {
			this.node = node;
			this.random = node.random.split();
			this.limiter = new ColdStartLimiter(node.name, node.zone);
		}

		private void tick(long now) {
			if (this.firstTickAtMillis == null) {
				this.firstTickAtMillis = now;
			}
			// What has arrived during a freeze is processed first, and requests may be
			// sent
			// before any timer runs.
			finishRead(now);
			finishReports(now);
			if (this.random.nextBoolean()) {
				sendRequests(now);
			}
			if (now >= this.nextReportAtMillis) {
				this.nextReportAtMillis = now + REPORT_MILLIS;
				removeSilentNodes(now);
				report(now);
			}
			if (now >= this.nextUpdateAtMillis) {
				this.nextUpdateAtMillis = now + UPDATE_MILLIS;
				update(now);
			}
			startRead(now);
			sendRequests(now);
		}

		private boolean isServing(long now) {
			return this.listed && this.firstTickAtMillis != null
					&& now >= this.firstTickAtMillis + this.node.readyAfterMillis && now < this.node.leavesAtMillis;
		}

		private boolean isStoreReachable(long now) {
			return !this.node.cutOff.contains(now) && !this.node.simulation.storeDown.contains(now);
		}

		private long delay(long max) {
			return (this.random.nextInt(4) == 0) ? this.random.nextLong(max) : this.random.nextLong(30);
		}

		private void startRead(long now) {
			if (this.isReadPending) {
				return;
			}
			this.isReadPending = true;
			this.readFails = !isStoreReachable(now) || this.node.readsRefused.contains(now);
			this.isListing = !this.listed || (!this.relisted && now >= this.node.relistsAtMillis);
			long waits = this.random.nextLong(1_000);
			this.readArrivesAtMillis = now + waits + delay(700);
			boolean relayed = this.node.simulation.disturbed && this.random.nextInt(3) == 0;
			this.readAgeMillis = relayed ? delay(MAX_RELAY_AGE_MILLIS) : 0;
			long unknownDelay = relayed ? delay(MAX_CALL_MILLIS) : 0;
			// Without a wait the answer tells the state at the time of the call.
			long stateOf = now - this.readAgeMillis - unknownDelay;
			int end = this.isListing ? 0 : this.position;
			List<StoredReport> log = this.node.simulation.log;
			while (end < log.size() && log.get(end).storedAtMillis <= stateOf) {
				end++;
			}
			this.readPosition = end;
		}

		private void finishRead(long now) {
			if (!this.isReadPending || now < this.readArrivesAtMillis) {
				return;
			}
			this.isReadPending = false;
			if (this.readFails || now - this.readArrivesAtMillis > MAX_CALL_MILLIS && this.random.nextBoolean()) {
				this.disruptedAtMillis = now;
				return;
			}
			this.contactAtMillis = Math.max(this.contactAtMillis, now - this.readAgeMillis);
			if (this.isListing) {
				this.relisted = this.listed;
				this.position = 0;
			}
			for (; this.position < this.readPosition; this.position++) {
				StoredReport report = this.node.simulation.log.get(this.position);
				if (!report.node.equals(this.node.name)) {
					long age = !this.isListing ? 0
							: Math.max(0, now - report.storedAtMillis + this.node.clockErrorMillis);
					this.known.put(report.node, report);
					this.reportedAtMillis.put(report.node, now - age);
				}
			}
			this.listed = true;
		}

		private void removeSilentNodes(long now) {
			if (now - this.disruptedAtMillis > REMOVAL_MILLIS) {
				this.known.keySet().removeIf((name) -> now - this.reportedAtMillis.get(name) > REMOVAL_MILLIS);
			}
		}

		private void report(long now) {
			if (!isStoreReachable(now) || this.node.reportsRefused.contains(now)) {
				return;
			}
			boolean serving = isServing(now);
			List<StoredReport> log = this.node.simulation.log;
			// Reports are stored in the order of the log, some time after they are
			// written.
			long storedAt = Math.max(now + delay(600), log.isEmpty() ? 0 : log.get(log.size() - 1).storedAtMillis);
			log.add(new StoredReport(storedAt, this.node.name, this.node.zone, serving));
			if (serving && this.random.nextInt(20) > 0) {
				this.pendingReports.add(new long[] { now, storedAt + delay(900) });
			}
		}

		private void finishReports(long now) {
			this.pendingReports.removeIf((pending) -> {
				if (now < pending[1]) {
					return false;
				}
				this.acceptedReportAtMillis = Math.max(this.acceptedReportAtMillis, pending[0]);
				return true;
			});
		}

		private void update(long now) {
			Map<String, String> members = new HashMap<>();
			this.known.values()
				.stream()
				.filter(StoredReport::serving)
				.forEach((report) -> members.put(report.node, report.zone));
			this.limiter.update(new ColdStartView(members, this.listed ? this.contactAtMillis : ColdStartView.NEVER,
					isServing(now), this.acceptedReportAtMillis), now);
		}

		private void sendRequests(long now) {
			this.misdirected.removeIf((sent) -> {
				boolean returns = this.random.nextInt(4) == 0;
				if (returns) {
					this.limiter.giveBack(sent);
				}
				return returns;
			});
			for (ServerRegistration server : this.node.simulation.servers) {
				Optional<Permit> permit = trySend(server, now);
				while (permit.isPresent()) {
					if (this.random.nextInt(20) == 0) {
						// The server turns the request away with 421, which doesn't
						// count.
						this.misdirected.add(permit.get());
					}
					else {
						this.node.simulation.sentByServer.get(server.id()).add(now);
					}
					permit = trySend(server, now);
				}
			}
		}

		private Optional<Permit> trySend(ServerRegistration server, long now) {
			return this.limiter.trySend(server, this.node.simulation.coldStart, this.random.nextInt(10), now);
		}

	}

}
