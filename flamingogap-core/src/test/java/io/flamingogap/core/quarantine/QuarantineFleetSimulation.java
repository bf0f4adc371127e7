package io.flamingogap.core.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Nodes and servers in simulated time. Some requests, or a part of theirs, crash each
 * server which begins to answer them; sound ones share all their other parts. Servers
 * also crash for other reasons, alone and together, nodes restart, and datagrams are
 * lost. What is told of a crash may be told again, as the nodes do.
 */
final class QuarantineFleetSimulation {

	static final String BAD_PART = "bad";

	private static final String SERVICE = "engine";

	private static final long LENGTH_MILLIS = 60_000;

	private static final long SURVIVAL_MILLIS = 500;

	private static final long PROBE_MILLIS = 25;

	private static final long REPEATED_CRASHES_MILLIS = 30_000;

	private static final int MAX_REPEATED_CRASHES = 8;

	private static final long DOWN_MILLIS = 3_000;

	/** When a sighting is sent again. */
	private static final List<Long> REPEAT_MILLIS = List.of(15L, 50L, 200L);

	private static final double MAX_BAD_REQUEST_SHARE = 0.02;

	private static final int MAX_BAD_REPEATS = 20;

	private static final int BOUND_CRASHES = 5;

	private static final long BOUND_MILLIS = 4_000;

	private final SplittableRandom random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final List<Node> nodes = new ArrayList<>();

	private final List<Server> servers = new ArrayList<>();

	private final Set<QuarantineRule> storedRules = new LinkedHashSet<>();

	private final double badShare;

	private final double lostShare;

	private final int ownParts;

	private final boolean badVariesOtherParts;

	private final Culprit culprit;

	private final Map<String, Integer> serversEndedByRequest = new HashMap<>();

	private long nowMillis;

	private long eventNumber;

	private int requestNumber;

	private int badCrashes;

	private long boundAtMillis = Long.MAX_VALUE;

	private int lateArrivals;

	private int soundRequests;

	private int soundRefused;

	QuarantineFleetSimulation(long seed, Culprit culprit) {
		this.random = new SplittableRandom(seed);
		this.culprit = culprit;
		this.badShare = 0.01 + this.random.nextDouble() * 0.25;
		this.lostShare = this.random.nextDouble() * 0.1;
		this.ownParts = 20 + this.random.nextInt(100);
		this.badVariesOtherParts = this.random.nextBoolean();
		int nodeCount = 2 + this.random.nextInt(culprit.maxMoreNodes);
		for (int i = 0; i < nodeCount; i++) {
			this.nodes.add(new Node());
		}
		int serverCount = 6 + this.random.nextInt(40);
		for (int i = 0; i < serverCount; i++) {
			this.servers.add(new Server("s" + i));
		}
	}

	void run() {
		long gapMillis = 8 + this.random.nextInt(40);
		for (long at = 0; at < LENGTH_MILLIS; at += 1 + this.random.nextInt((int) gapMillis * 2)) {
			schedule(at, this::sendRequest);
		}
		for (long at = 2_000; at < LENGTH_MILLIS; at += 2_000 + this.random.nextInt(8_000)) {
			schedule(at, this::crashOthers);
			schedule(at + 700, () -> pick(this.nodes).restart());
		}
		while (!this.events.isEmpty()) {
			Event next = this.events.poll();
			this.nowMillis = next.atMillis;
			next.action.run();
		}
	}

	private void schedule(long atMillis, Runnable action) {
		this.events.add(new Event(atMillis, this.eventNumber++, action));
	}

	private void after(long delayMillis, Runnable action) {
		schedule(this.nowMillis + delayMillis, action);
	}

	private <T> T pick(List<T> list) {
		return list.get(this.random.nextInt(list.size()));
	}

	private void sendRequest() {
		if (this.culprit == Culprit.REQUEST) {
			sendNewRequest();
			return;
		}
		boolean bad = this.nowMillis > 3_000 && this.random.nextDouble() < this.badShare;
		String first = "first" + this.random.nextInt(3);
		String own = "own" + (int) (this.ownParts * Math.pow(this.random.nextDouble(), 2));
		List<String> sound = (bad && !this.badVariesOtherParts) ? List.of("first0", "own1") : List.of(first, own);
		List<String> parts = new ArrayList<>(sound);
		if (bad) {
			parts.add(this.random.nextInt(parts.size() + 1), BAD_PART);
		}
		else {
			this.soundRequests++;
		}
		Node node = pick(this.nodes);
		if (node.quarantine.admit(SERVICE, parts, this.nowMillis).isPresent()) {
			this.soundRefused += bad ? 0 : 1;
			return;
		}
		List<Server> up = this.servers.stream().filter((server) -> server.up).toList();
		if (!up.isEmpty()) {
			pick(up).receive(node, parts, bad);
		}
	}

	/**
	 * Send a request that its caller repeats at any node if its server crashes: a sound
	 * one three times, and one that crashes servers until it is refused.
	 */
	private void sendNewRequest() {
		boolean bad = this.nowMillis > 3_000 && this.random.nextDouble() < MAX_BAD_REQUEST_SHARE * this.badShare;
		this.soundRequests += bad ? 0 : 1;
		String first = "first" + this.random.nextInt(3);
		String own = "own" + (int) (this.ownParts * Math.pow(this.random.nextDouble(), 2));
		this.requestNumber++;
		send(new Request(List.of(first, own, "request:" + this.requestNumber), bad), bad ? MAX_BAD_REPEATS : 3);
	}

	private void send(Request request, int repeats) {
		List<Node> started = this.nodes.stream().filter((each) -> each.startedAtMillis <= this.nowMillis).toList();
		if (started.isEmpty()) {
			return;
		}
		Node node = pick(started);
		if (node.quarantine.admit(SERVICE, request.suspects, this.nowMillis).isPresent()) {
			this.soundRefused += request.bad ? 0 : 1;
			return;
		}
		List<Server> up = this.servers.stream().filter((server) -> server.up).toList();
		if (!up.isEmpty()) {
			Server server = pick(up);
			server.receive(node, request.suspects, request.bad);
			if (repeats > 0) {
				server.crashListeners.put(request,
						() -> after(50 + this.random.nextInt(1_000), () -> send(request, repeats - 1)));
			}
		}
	}

	private void crashOthers() {
		if (this.random.nextInt(3) == 0) {
			this.servers.stream().filter((server) -> this.random.nextInt(4) == 0).toList().forEach(Server::crash);
		}
		else {
			pick(this.servers).crash();
		}
	}

	/**
	 * Return how many requests with the bad part reached servers after the bound.
	 * @return the number
	 */
	int lateArrivals() {
		return this.lateArrivals;
	}

	/**
	 * Return how many servers one request has ended.
	 * @return the highest number of all requests
	 */
	int mostServersEndedByARequest() {
		return this.serversEndedByRequest.values().stream().mapToInt(Integer::intValue).max().orElse(0);
	}

	@Override
	public String toString() {
		return this.nodes.size() + " nodes, " + this.servers.size() + " servers, " + this.badCrashes
				+ " crashes by the part, rules " + this.storedRules;
	}

	/**
	 * Return the share of sound requests that were refused.
	 * @return the share, from 0 to 1
	 */
	double soundRefusedShare() {
		return (double) this.soundRefused / this.soundRequests;
	}

	private void store(Node storing, List<QuarantineRule> rules) {
		for (QuarantineRule rule : rules) {
			after(this.random.nextInt(1_500), () -> {
				if (storing.quarantine.remainingMillis(rule, this.nowMillis) == 0 || !this.storedRules.add(rule)) {
					return;
				}
				this.nodes.forEach((node) -> after(this.random.nextInt(900),
						() -> node.quarantine.adopt(rule, LENGTH_MILLIS * 5, this.nowMillis)));
			});
		}
	}

	private void remove(List<QuarantineRule> rules) {
		for (QuarantineRule rule : rules) {
			after(this.random.nextInt(20), () -> {
				this.storedRules.remove(rule);
				this.nodes.forEach((node) -> after(this.random.nextInt(900), () -> node.quarantine.release(rule)));
			});
		}
	}

	/**
	 * What crashes servers.
	 */
	enum Culprit {

		/** A part that many requests share, no two alike. */
		PART(30, 0),

		/** Requests that are repeated. */
		REQUEST(329, 1_000);

		private final int maxMoreNodes;

		/** How long a node that starts takes no requests. */
		private final long startMillis;

		Culprit(int maxMoreNodes, long startMillis) {
			this.maxMoreNodes = maxMoreNodes;
			this.startMillis = startMillis;
		}

	}

	private record Request(List<String> suspects, boolean bad) {
	}

	private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.atMillis, other.atMillis);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

	private final class Node {

		private final QuarantineFleetSimulation fleet = QuarantineFleetSimulation.this;

		private RequestQuarantine quarantine = new RequestQuarantine(0);

		private final Deque<CrashSighting> ownSightings = new ArrayDeque<>();

		private long lastSightingAtMillis;

		private long startedAtMillis;

		private void restart() {
			this.startedAtMillis = this.fleet.nowMillis + this.fleet.culprit.startMillis;
			this.quarantine = new RequestQuarantine(0);
			this.ownSightings.clear();
			this.fleet.storedRules
				.forEach((rule) -> this.quarantine.adopt(rule, LENGTH_MILLIS * 5, this.fleet.nowMillis));
		}

		private void see(CrashSighting seen) {
			List<String> survived = this.quarantine.findSurvived(seen, this.fleet.nowMillis);
			Set<String> suspects = new HashSet<>(seen.suspects());
			suspects.removeAll(survived);
			if (suspects.isEmpty()) {
				return;
			}
			if (this.ownSightings.size() == MAX_REPEATED_CRASHES) {
				this.ownSightings.removeFirst();
			}
			if (this.fleet.nowMillis - this.lastSightingAtMillis > REPEATED_CRASHES_MILLIS) {
				this.ownSightings.clear();
			}
			this.lastSightingAtMillis = this.fleet.nowMillis;
			CrashSighting sighting = new CrashSighting(seen.server(), seen.startedAtMillis(), SERVICE, suspects);
			this.ownSightings.addLast(sighting);
			List<CrashSighting> news = List.copyOf(this.ownSightings);
			tellOthers((other) -> news.forEach((each) -> other.learn(each, this)));
			if (this.fleet.culprit == Culprit.REQUEST) {
				REPEAT_MILLIS.forEach((delayMillis) -> this.fleet.after(delayMillis,
						() -> tellOthers((other) -> news.forEach((each) -> other.learn(each, this)))));
			}
			RequestQuarantine.CrashEffect effect = this.quarantine.recordCrash(sighting, this.fleet.nowMillis);
			this.fleet.store(this, effect.begun());
			this.fleet.remove(effect.ended());
			if (this.fleet.culprit == Culprit.REQUEST) {
				effect.begun().forEach((rule) -> tellOthers(newsOf(rule)));
			}
		}

		private void tellOthers(Consumer<Node> message) {
			this.fleet.nodes.stream().filter((other) -> other != this).forEach((other) -> tell(other, message));
		}

		private void tell(Node other, Consumer<Node> message) {
			if (this.fleet.random.nextDouble() >= this.fleet.lostShare) {
				this.fleet.after(1 + this.fleet.random.nextInt(30), () -> message.accept(other));
			}
		}

		private void learn(CrashSighting sighting, Node sender) {
			List<String> survived = this.quarantine.findSurvived(sighting, this.fleet.nowMillis);
			if (!survived.isEmpty()) {
				tell(sender, (node) -> node.learnSurvival(survived));
			}
			List<QuarantineRule> begun = this.quarantine.recordCrash(sighting, this.fleet.nowMillis).begun();
			this.fleet.store(this, begun);
			if (this.fleet.culprit == Culprit.REQUEST) {
				begun.forEach((rule) -> tell(sender, newsOf(rule)));
			}
		}

		private Consumer<Node> newsOf(QuarantineRule rule) {
			List<CrashSighting> evidence = this.quarantine.evidenceFor(rule);
			return (other) -> evidence.forEach((each) -> other.learn(each, this));
		}

		private void learnSurvival(List<String> parts) {
			if (this.quarantine.recordSurvival(SERVICE, parts, this.fleet.nowMillis).contradicts()) {
				tellOthers((other) -> other.quarantine.recordSurvival(SERVICE, parts, this.fleet.nowMillis));
			}
		}

	}

	private final class Server {

		private final QuarantineFleetSimulation fleet = QuarantineFleetSimulation.this;

		private final String id;

		private boolean up = true;

		private long startedAtMillis = 1;

		private Map<Node, Set<String>> unsurvived = new LinkedHashMap<>();

		/** What callers do when the server crashes before it has survived a request. */
		private final Map<Request, Runnable> crashListeners = new LinkedHashMap<>();

		private Server(String id) {
			this.id = id;
		}

		private void receive(Node node, List<String> parts, boolean bad) {
			if (bad && this.fleet.nowMillis > this.fleet.boundAtMillis) {
				this.fleet.lateArrivals++;
			}
			long run = this.startedAtMillis;
			Set<String> open = this.unsurvived.computeIfAbsent(node, (key) -> new HashSet<>());
			open.addAll(parts);
			long beginMillis = 20 + this.fleet.random.nextInt(300);
			this.fleet.after(beginMillis, () -> {
				boolean cancelled = this.fleet.culprit == Culprit.REQUEST
						&& node.quarantine.isQuarantined(SERVICE, parts, this.fleet.nowMillis);
				if (bad && !cancelled && this.up && this.startedAtMillis == run) {
					this.fleet.badCrashes++;
					this.fleet.serversEndedByRequest.merge(parts.get(parts.size() - 1), 1, Integer::sum);
					if (this.fleet.badCrashes == BOUND_CRASHES) {
						this.fleet.boundAtMillis = this.fleet.nowMillis + BOUND_MILLIS;
					}
					crash();
				}
			});
			this.fleet.after(beginMillis + SURVIVAL_MILLIS, () -> {
				if (this.up && this.startedAtMillis == run) {
					open.removeAll(parts);
					this.crashListeners.keySet().removeIf((request) -> request.suspects().equals(parts));
					node.learnSurvival(parts);
				}
			});
		}

		private void crash() {
			if (!this.up) {
				return;
			}
			this.up = false;
			this.crashListeners.values().forEach(Runnable::run);
			this.crashListeners.clear();
			Map<Node, Set<String>> open = this.unsurvived;
			this.unsurvived = new LinkedHashMap<>();
			long run = this.startedAtMillis;
			open.forEach((node, parts) -> this.fleet.after(PROBE_MILLIS,
					() -> node.see(new CrashSighting(this.id, run, SERVICE, parts))));
			this.fleet.after(DOWN_MILLIS, () -> {
				this.up = true;
				this.startedAtMillis++;
			});
		}

	}

}
