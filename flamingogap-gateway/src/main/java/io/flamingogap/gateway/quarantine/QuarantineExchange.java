package io.flamingogap.gateway.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.quarantine.CrashSighting;
import io.flamingogap.core.quarantine.QuarantineRule;
import io.flamingogap.core.quarantine.RequestQuarantine;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.backends.BackendConnectionPool;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.peers.DatagramBatches;
import io.flamingogap.gateway.peers.PeerDatagramChannel;
import io.flamingogap.gateway.relay.GuardedRequest;
import io.flamingogap.gateway.relay.RelayMetrics;
import io.flamingogap.gateway.relay.RequestGuard;
import io.flamingogap.gateway.time.LoggedTask;
import io.flamingogap.gateway.time.NodeClock;
import io.flamingogap.wire.peer.CrashNews;
import io.flamingogap.wire.peer.PeerDatagram;
import io.flamingogap.wire.peer.PromptNews;
import io.flamingogap.wire.peer.SurvivalNews;

/**
 * Shares with the other nodes what requests did to servers, so that one quarantine holds
 * on all nodes: crashes and survivals by datagram, rules through the store, where they
 * outlive all nodes.
 * <p>
 * Not thread-safe; all calls must be made on the event loop.
 */
public final class QuarantineExchange implements RequestGuard {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long UPDATE_INTERVAL_MILLIS = 250;

	/**
	 * Each datagram repeats the crashes of this time, since an earlier one may be lost.
	 */
	private static final long REPEATED_CRASHES_MILLIS = 30_000;

	private static final int MAX_REPEATED_CRASHES = 8;

	/** When a crash is told again, since datagrams are lost. */
	private static final List<Long> REPEAT_MILLIS = List.of(15L, 50L, 200L);

	/**
	 * How long a node that didn't see the crash itself waits for another one to store the
	 * rule.
	 */
	private static final long STORE_DELAY_MILLIS = 2_000;

	private static final long STORE_RETRY_MILLIS = 1_000;

	/**
	 * Nodes let the first requests through at different times after the end of a
	 * quarantine.
	 */
	private static final long MAX_TRIAL_DELAY_MILLIS = 60_000;

	/** How often other nodes are told of the same survival at most. */
	private static final long SURVIVAL_NEWS_INTERVAL_MILLIS = 2_000;

	private final EventLoop loop;

	private final PeerDatagramChannel datagrams;

	private final Supplier<List<Address>> peers;

	private final QuarantineStore store;

	private final NodeClock clock;

	private final RelayMetrics metrics;

	private final RandomGenerator random;

	private final RequestQuarantine quarantine;

	private final ServerCrashDetector crashDetector;

	private final Set<UnansweredRequest> unanswered = new LinkedHashSet<>();

	private final Deque<TimedSighting> ownSightings = new ArrayDeque<>();

	private final Map<QuarantineRule, Long> storeAtMillis = new HashMap<>();

	private final Map<ToldSurvival, Long> survivalToldAtMillis = new HashMap<>();

	/**
	 * Create the exchange and listen for the datagrams of other nodes.
	 * @param loop the event loop
	 * @param datagrams the channel to the other nodes
	 * @param peers returns the addresses of all other nodes
	 * @param connectionPool opens the connections that probe servers
	 * @param mayProbe accepts the servers that may be probed
	 * @param store keeps the rules
	 * @param clock the clocks of this process
	 * @param metrics counts crashes and rules
	 * @param random spreads what several nodes would do at once
	 */
	public QuarantineExchange(EventLoop loop, PeerDatagramChannel datagrams, Supplier<List<Address>> peers,
			BackendConnectionPool connectionPool, Predicate<ServerRegistration> mayProbe, QuarantineStore store,
			NodeClock clock, RelayMetrics metrics, RandomGenerator random) {
		this.loop = loop;
		this.datagrams = datagrams;
		this.peers = peers;
		this.store = store;
		this.clock = clock;
		this.metrics = metrics;
		this.random = random;
		this.quarantine = new RequestQuarantine(random.nextLong(MAX_TRIAL_DELAY_MILLIS));
		this.crashDetector = new ServerCrashDetector(loop, connectionPool, mayProbe, this::onOwnCrash);
		datagrams.addListener(this::onDatagram);
		store.setListener(this::onStoredRule, this::onReleasedRule);
	}

	/**
	 * Start to store rules and to remove those that have ended.
	 */
	public void start() {
		this.loop.scheduleWithFixedDelay(LoggedTask.of("quarantine", this::update), UPDATE_INTERVAL_MILLIS,
				UPDATE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public OptionalLong admit(GuardedRequest request) {
		return (this.quarantine.size() == 0) ? OptionalLong.empty()
				: this.quarantine.admit(request.service(), request.suspects(), nowMillis());
	}

	@Override
	public boolean isQuarantined(GuardedRequest request) {
		return this.quarantine.size() > 0
				&& this.quarantine.isQuarantined(request.service(), request.suspects(), nowMillis());
	}

	@Override
	public boolean isNearlyQuarantined(GuardedRequest request) {
		return this.quarantine.hasSuspectRequests(request.service(), nowMillis())
				&& this.quarantine.isNearlyCause(request.service(), request.fingerprint());
	}

	private long nowMillis() {
		return this.clock.steadyMillis();
	}

	@Override
	public void track(UnansweredRequest dispatch) {
		this.unanswered.add(dispatch);
	}

	@Override
	public void untrack(UnansweredRequest dispatch) {
		this.unanswered.remove(dispatch);
	}

	@Override
	public void recordSurvival(ServerRegistration server, GuardedRequest request) {
		// A fingerprint takes an effort, so it is computed only if it may be known.
		boolean mayBeKnown = this.quarantine.size() > 0
				|| this.quarantine.hasSuspectRequests(server.service(), nowMillis());
		List<String> survived = mayBeKnown ? request.suspects() : request.sharedParts();
		if (survived.isEmpty()) {
			return;
		}
		RequestQuarantine.SurvivalEffect effect = applySurvival(server.service(), survived);
		if (effect.contradicts()) {
			tellSurvival(server.service(), survived, this.peers.get());
		}
		effect.ended().forEach(this.store::remove);
	}

	private RequestQuarantine.SurvivalEffect applySurvival(String service, List<String> survived) {
		RequestQuarantine.SurvivalEffect effect = this.quarantine.recordSurvival(service, survived, nowMillis());
		effect.ended().forEach((rule) -> onEnded(rule, "a server survived it"));
		begin(effect.begun(), "survival of other parts");
		return effect;
	}

	@Override
	public void recordBroken(ServerRegistration server, GuardedRequest request) {
		this.crashDetector.recordBroken(server, request);
	}

	private void onOwnCrash(CrashSighting seen) {
		this.metrics.increment("crashed.server");
		long nowMillis = nowMillis();
		List<String> survived = this.quarantine.findSurvived(seen, nowMillis);
		Set<String> suspects = seen.suspects()
			.stream()
			.filter((suspect) -> !survived.contains(suspect))
			.collect(Collectors.toUnmodifiableSet());
		CrashSighting sighting = new CrashSighting(seen.server(), seen.startedAtMillis(), seen.service(), suspects);
		if (sighting.suspects().isEmpty()) {
			return;
		}
		this.ownSightings.addLast(new TimedSighting(sighting, nowMillis));
		while (this.ownSightings.size() > MAX_REPEATED_CRASHES
				|| nowMillis - this.ownSightings.peekFirst().seenAtMillis() > REPEATED_CRASHES_MILLIS) {
			this.ownSightings.removeFirst();
		}
		List<CrashSighting> told = this.ownSightings.stream().map(TimedSighting::sighting).toList();
		tellCrashes(told, this.peers.get());
		REPEAT_MILLIS.forEach((delayMillis) -> this.loop.schedule(() -> tellCrashes(told, this.peers.get()),
				delayMillis, TimeUnit.MILLISECONDS));
		RequestQuarantine.CrashEffect effect = applyCrash(sighting, "crashes");
		effect.begun().forEach((rule) -> this.storeAtMillis.put(rule, nowMillis));
		tellEvidence(effect.begun(), this.peers.get());
		effect.ended().forEach(this.store::remove);
	}

	private RequestQuarantine.CrashEffect applyCrash(CrashSighting sighting, String source) {
		RequestQuarantine.CrashEffect effect = this.quarantine.recordCrash(sighting, nowMillis());
		effect.ended().forEach((rule) -> onEnded(rule, "other parts are the cause of its crashes"));
		begin(effect.begun(), source);
		return effect;
	}

	private void send(PromptNews news, List<Address> receivers) {
		PeerDatagram datagram = new PeerDatagram();
		datagram.setPrompts(news);
		this.datagrams.send(datagram, receivers);
	}

	private void tellSurvival(String service, List<String> parts, List<Address> receivers) {
		long nowMillis = nowMillis();
		this.survivalToldAtMillis.values().removeIf((millis) -> nowMillis - millis > SURVIVAL_NEWS_INTERVAL_MILLIS);
		if (this.survivalToldAtMillis.putIfAbsent(new ToldSurvival(service, parts, receivers), nowMillis) == null) {
			for (List<String> batch : DatagramBatches.split(parts, String::length)) {
				send(new PromptNews(List.of(), List.of(new SurvivalNews(service, batch))), receivers);
			}
		}
	}

	private void onDatagram(PeerDatagram datagram, Address from) {
		if (!datagram.isSetPrompts()) {
			return;
		}
		for (SurvivalNews survival : datagram.getPrompts().getSurvivals()) {
			onSurvivalNews(survival.getServiceName(), survival.getParts());
		}
		for (CrashNews crash : datagram.getPrompts().getCrashes()) {
			onCrashNews(QuarantineCodec.decode(crash), from);
		}
	}

	/**
	 * Learn from another node that a server survived parts. If this node had suspected
	 * them, only it may know of that survival, so it tells all others.
	 * @param service the service of the server
	 * @param parts the ids of the parts
	 */
	private void onSurvivalNews(String service, List<String> parts) {
		boolean contradicts = applySurvival(service, parts).contradicts();
		boolean suspectedHere = this.ownSightings.stream()
			.anyMatch((timed) -> timed.sighting().suspects().stream().anyMatch(parts::contains));
		if (contradicts && suspectedHere) {
			tellSurvival(service, parts, this.peers.get());
		}
	}

	private void onCrashNews(CrashSighting sighting, Address from) {
		List<String> survived = this.quarantine.findSurvived(sighting, nowMillis());
		if (!survived.isEmpty()) {
			tellSurvival(sighting.service(), survived, List.of(from));
		}
		RequestQuarantine.CrashEffect effect = applyCrash(sighting, "crashes that other nodes saw");
		// The sender may have started since the earlier crashes.
		tellEvidence(effect.begun(), List.of(from));
	}

	/**
	 * Tell other nodes of the crashes that rules rest on, of which they may not know all.
	 * @param rules the rules that began
	 * @param receivers the nodes
	 */
	private void tellEvidence(List<QuarantineRule> rules, List<Address> receivers) {
		rules.forEach((rule) -> tellCrashes(this.quarantine.evidenceFor(rule), receivers));
	}

	private void tellCrashes(List<CrashSighting> sightings, List<Address> receivers) {
		for (CrashSighting sighting : sightings) {
			for (List<String> suspects : DatagramBatches.split(sighting.suspects(), String::length)) {
				CrashSighting part = new CrashSighting(sighting.server(), sighting.startedAtMillis(),
						sighting.service(), Set.copyOf(suspects));
				send(new PromptNews(List.of(QuarantineCodec.encode(part)), List.of()), receivers);
			}
		}
	}

	private void begin(List<QuarantineRule> rules, String source) {
		for (QuarantineRule rule : rules) {
			this.metrics.increment("quarantined.rule");
			logger.atWarning()
				.log("%s", logLine("quarantine began", rule).with("source", source)
					.with("leftMillis", this.quarantine.remainingMillis(rule, nowMillis())));
			long delayMillis = STORE_DELAY_MILLIS + this.random.nextLong(STORE_DELAY_MILLIS);
			this.storeAtMillis.put(rule, nowMillis() + delayMillis);
		}
		if (!rules.isEmpty()) {
			cancelQuarantined();
		}
	}

	private void cancelQuarantined() {
		List.copyOf(this.unanswered)
			.stream()
			.filter((dispatch) -> isQuarantined(dispatch.request()))
			.forEach(UnansweredRequest::cancel);
	}

	private static LogLine logLine(String event, QuarantineRule rule) {
		return LogLine.of(event).with("service", rule.service()).with("suspects", String.join(",", rule.suspects()));
	}

	private void onEnded(QuarantineRule rule, String reason) {
		this.storeAtMillis.remove(rule);
		logger.atInfo().log("%s", logLine("quarantine ended", rule).with("reason", reason));
	}

	private void onStoredRule(QuarantineRule rule, long remainingMillis) {
		this.storeAtMillis.remove(rule);
		if (this.quarantine.adopt(rule, remainingMillis, nowMillis())) {
			begin(List.of(rule), "store");
			this.storeAtMillis.remove(rule);
		}
	}

	private void onReleasedRule(QuarantineRule rule) {
		this.quarantine.release(rule);
		onEnded(rule, "another node ended it");
	}

	private void update() {
		long nowMillis = nowMillis();
		this.quarantine.expire(nowMillis).forEach((rule) -> {
			onEnded(rule, "no crash since its end");
			this.store.removeIfStoredHere(rule);
		});
		List<QuarantineRule> due = new ArrayList<>();
		this.storeAtMillis.forEach((rule, atMillis) -> {
			if (nowMillis >= atMillis) {
				due.add(rule);
			}
		});
		due.forEach((rule) -> {
			this.storeAtMillis.put(rule, nowMillis + STORE_RETRY_MILLIS);
			this.store.put(rule, this.quarantine.remainingMillis(rule, nowMillis));
		});
	}

	private record ToldSurvival(String service, List<String> parts, List<Address> receivers) {
	}

	private record TimedSighting(CrashSighting sighting, long seenAtMillis) {
	}

}
