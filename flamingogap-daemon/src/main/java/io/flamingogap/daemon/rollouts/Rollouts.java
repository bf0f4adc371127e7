package io.flamingogap.daemon.rollouts;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.manifest.Rollout;
import io.flamingogap.core.manifest.Route;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.manifest.ServiceKind;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.rollout.AdaptiveLatencyThreshold;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.core.rollout.EvidenceKey;
import io.flamingogap.core.rollout.EvidenceRow;
import io.flamingogap.core.rollout.EvidenceTable;
import io.flamingogap.core.rollout.RolloutDecision;
import io.flamingogap.core.rollout.RolloutKey;
import io.flamingogap.core.rollout.RolloutPolicy;
import io.flamingogap.core.rollout.TakeBack;
import io.flamingogap.core.rollout.TrafficSplitter;
import io.flamingogap.daemon.backends.CallResult;

/**
 * Chooses the version for each request of a service that has a rollout, and counts the
 * outcomes as evidence for or against the candidate. Thread-safe.
 */
public final class Rollouts {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Time without contact to the platform log and to peers after which this node sends
	 * no requests to candidates.
	 */
	private static final long CONTACT_TIMEOUT_MILLIS = 10_000;

	private static final int MAX_TAKE_BACKS = 1_000;

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final NodeId self;

	private final Supplier<Manifest> manifest;

	private final Clock clock;

	private final EvidenceTable evidence = new EvidenceTable();

	private final Map<RolloutKey, TakeBack> takeBacksByRollout = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<RolloutKey, TakeBack> eldest) {
			return size() > MAX_TAKE_BACKS;
		}

	};

	private final Map<String, AdaptiveLatencyThreshold> latencyThresholds = new HashMap<>();

	private final List<Consumer<TakeBack>> listeners = new CopyOnWriteArrayList<>();

	private long lastContactMillis;

	/**
	 * Create an instance without evidence and without take-backs.
	 * @param self this node incarnation, under which it counts evidence
	 * @param manifest returns the manifest in force, which lists the rollouts
	 * @param clock the clock for rollout phases and take-backs
	 */
	public Rollouts(NodeId self, Supplier<Manifest> manifest, Clock clock) {
		this.self = self;
		this.manifest = manifest;
		this.clock = clock;
		this.lastContactMillis = clock.millis();
	}

	/**
	 * Add a listener for take-backs.
	 * @param listener called once for each rollout, with the first take-back that becomes
	 * known; not called under the lock of this object
	 */
	public void addListener(Consumer<TakeBack> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Record contact with the platform log or a peer.
	 */
	public synchronized void recordContact() {
		this.lastContactMillis = this.clock.millis();
	}

	/**
	 * Choose the version for a request. A request that may not be repeated takes no part
	 * in the exploration of a candidate, unless the service has no others.
	 * @param service the service that the request is for
	 * @param requestId the id of the request, the same for each of its attempts
	 * @param route the route under which to count the outcome
	 * @param repeatable whether the request may be executed more than once
	 * @return the choice; the current version if no rollout is under way or this node has
	 * had no recent contact with the platform log or a peer
	 */
	public synchronized VersionChoice chooseVersion(Service service, String requestId, String route,
			boolean repeatable) {
		Optional<Rollout> rollout = findRollout(service.name());
		if (rollout.isEmpty()) {
			return new VersionChoice(service, service.version(), List.of(), null, Arm.CURRENT, route);
		}
		boolean mayExplore = repeatable || !hasRepeatableRequests(service);
		Arm arm = hasRecentContact() ? TrafficSplitter.choose(decide(rollout.get()), requestId, mayExplore)
				: Arm.CURRENT;
		if (arm == Arm.CANDIDATE) {
			return new VersionChoice(service, rollout.get().candidate(), rollout.get().zones(), rollout.get(), arm,
					route);
		}
		return new VersionChoice(service, service.version(), List.of(), rollout.get(), arm, route);
	}

	/**
	 * Return a choice of the version that started a stream, to resume the stream with it.
	 * @param service the service that the stream belongs to
	 * @param version the version that started the stream
	 * @param route the route under which to count the outcome
	 * @return a choice of that version in any availability zone
	 */
	public synchronized VersionChoice resumeVersion(Service service, String version, String route) {
		Arm arm = version.equals(service.version()) ? Arm.CURRENT : Arm.CANDIDATE;
		return new VersionChoice(service, version, List.of(), findRollout(service.name()).orElse(null), arm, route);
	}

	private boolean hasRecentContact() {
		return this.clock.millis() - this.lastContactMillis <= CONTACT_TIMEOUT_MILLIS;
	}

	private static boolean hasRepeatableRequests(Service service) {
		return service.kind() == ServiceKind.MODEL || service.routes().stream().anyMatch(Route::repeatable);
	}

	private Optional<Rollout> findRollout(String service) {
		return this.manifest.get()
			.rollout()
			.stream()
			.filter((rollout) -> rollout.service().equals(service))
			.findFirst();
	}

	private RolloutDecision decide(Rollout rollout) {
		return RolloutPolicy.decide(rollout, this.evidence, this.takeBacksByRollout.get(RolloutKey.of(rollout)),
				this.clock.millis());
	}

	/**
	 * Count the outcome of a request as evidence, if it is part of a rollout.
	 * @param choice the version that was chosen for the request
	 * @param failed whether the request failed because of the version
	 * @param latencyMillis the time to the first token or to the complete answer
	 */
	public void recordOutcome(VersionChoice choice, boolean failed, long latencyMillis) {
		Rollout rollout = choice.rollout();
		if (rollout == null) {
			return;
		}
		synchronized (this) {
			AdaptiveLatencyThreshold threshold = this.latencyThresholds.computeIfAbsent(
					choice.service().name() + " " + choice.route(),
					(route) -> new AdaptiveLatencyThreshold(choice.service().targetMillis()));
			boolean slow = !failed && threshold.isSlow(latencyMillis);
			if (choice.arm() == Arm.CURRENT && !failed) {
				threshold.update(latencyMillis);
			}
			int period = RolloutPolicy.period(rollout, this.clock.millis());
			this.evidence.count(
					new EvidenceKey(RolloutKey.of(rollout), this.self, choice.arm(), choice.route(), period), failed,
					slow);
		}
	}

	/**
	 * Count the result of a call as evidence. A failure of a server that was announced to
	 * leave is not counted, as it says nothing about its version.
	 * @param choice the version that was chosen for the call
	 * @param result the result; a status of 500 or above counts as a failure
	 * @param leaving whether the server was announced to leave
	 * @param latencyMillis the duration of the call
	 */
	public void recordOutcome(VersionChoice choice, CallResult result, boolean leaving, long latencyMillis) {
		boolean failed = !(result instanceof CallResult.Answered answered)
				|| answered.answer().status() >= MIN_SERVER_ERROR_STATUS;
		if (!failed || !leaving) {
			recordOutcome(choice, failed, latencyMillis);
		}
	}

	/**
	 * Take back each candidate that the evidence shows to be worse than the current
	 * version, and remove the evidence of rollouts that the manifest no longer contains.
	 */
	public void takeBackRegressions() {
		List<TakeBack> newTakeBacks = new ArrayList<>();
		synchronized (this) {
			List<Rollout> activeRollouts = this.manifest.get().rollout();
			this.evidence.retain(activeRollouts.stream().map(RolloutKey::of).collect(Collectors.toSet()));
			for (Rollout rollout : activeRollouts) {
				RolloutKey key = RolloutKey.of(rollout);
				if (!this.takeBacksByRollout.containsKey(key)) {
					RolloutPolicy.findRegression(rollout, this.evidence, this.clock.millis())
						.ifPresent((reason) -> newTakeBacks
							.add(new TakeBack(key, this.self.toString(), reason, this.clock.millis())));
				}
			}
		}
		newTakeBacks.forEach(this::takeBack);
	}

	/**
	 * Take a candidate back for good. Of several decisions about the same rollout, the
	 * one that precedes the others is kept.
	 * @param decision a decision of this node, an operator or a peer
	 * @return {@code true} if no take-back of the rollout was known before
	 */
	public boolean takeBack(TakeBack decision) {
		synchronized (this) {
			TakeBack known = this.takeBacksByRollout.get(decision.rollout());
			if (known == null || decision.precedes(known)) {
				this.takeBacksByRollout.put(decision.rollout(), decision);
			}
			if (known != null) {
				return false;
			}
		}
		logger.atWarning().log("%s taken back by %s: %s", decision.rollout(), decision.by(), decision.reason());
		this.listeners.forEach((listener) -> listener.accept(decision));
		return true;
	}

	/**
	 * Return the known take-backs of rollouts that the manifest still contains.
	 * @return at most one decision per rollout
	 */
	public synchronized List<TakeBack> takeBacks() {
		return this.manifest.get()
			.rollout()
			.stream()
			.map((rollout) -> this.takeBacksByRollout.get(RolloutKey.of(rollout)))
			.filter((decision) -> decision != null)
			.toList();
	}

	/**
	 * Merge evidence that a neighbour sent.
	 * @param rows rows in any state, in any order
	 */
	public synchronized void mergeEvidence(List<EvidenceRow> rows) {
		rows.forEach(this.evidence::merge);
	}

	/**
	 * Return the evidence that changed after a sequence number.
	 * @param afterSequence the sequence number of the last page; 0 for the first page
	 * @param maxRows the maximum number of rows to return
	 * @return the rows and the sequence number to continue from
	 */
	public synchronized EvidenceTable.Page evidenceChangedAfter(long afterSequence, int maxRows) {
		return this.evidence.changesAfter(afterSequence, maxRows);
	}

	/**
	 * Return the decision of this node about each rollout in the manifest.
	 * @return one report per rollout
	 */
	public synchronized List<RolloutReport> reports() {
		return this.manifest.get()
			.rollout()
			.stream()
			.map((rollout) -> RolloutReport.of(rollout, decide(rollout)))
			.toList();
	}

	/**
	 * Find the rollout of a service.
	 * @param service the name of the service
	 * @return the identity of the rollout; empty if none is under way
	 */
	public synchronized Optional<RolloutKey> findKey(String service) {
		return findRollout(service).map(RolloutKey::of);
	}

	/**
	 * Decision of a node about a rollout, as operators see it.
	 *
	 * @param service the name of the service
	 * @param candidate the version that is rolled out
	 * @param phase the name of the rollout phase
	 * @param sharePermille the share of requests for the candidate, in thousandths
	 * @param reason the reason, with the counts behind it
	 * @param deadlineEpochSeconds the time by which the candidate must receive all
	 * requests, in seconds since 1970 UTC
	 */
	public record RolloutReport(String service, String candidate, String phase, int sharePermille, String reason,
			long deadlineEpochSeconds) {

		static RolloutReport of(Rollout rollout, RolloutDecision decision) {
			return new RolloutReport(rollout.service(), rollout.candidate(), decision.phase().name(),
					decision.sharePermille(), decision.reason(), rollout.deadlineEpochSeconds());
		}

	}

}
