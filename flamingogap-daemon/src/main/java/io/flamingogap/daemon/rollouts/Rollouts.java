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
 * The rollouts under way as this node sees them, shared by its threads.
 */
public final class Rollouts {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Candidates get no traffic from a node that has heard neither log nor peer for this
	 * long.
	 */
	private static final long CONTACT_LOST_MILLIS = 10_000;

	private static final int MAX_TAKE_BACKS = 1_000;

	private static final int SERVER_ERROR = 500;

	private final NodeId self;

	private final Supplier<Manifest> manifest;

	private final Clock clock;

	private final EvidenceTable evidence = new EvidenceTable();

	private final Map<RolloutKey, TakeBack> takenBack = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<RolloutKey, TakeBack> eldest) {
			return size() > MAX_TAKE_BACKS;
		}

	};

	private final Map<String, AdaptiveLatencyThreshold> thresholds = new HashMap<>();

	private final List<Consumer<TakeBack>> listeners = new CopyOnWriteArrayList<>();

	private long lastContactMillis;

	/**
	 * Create the rollouts.
	 * @param self this node
	 * @param manifest the manifest in force
	 * @param clock tells the present time
	 */
	public Rollouts(NodeId self, Supplier<Manifest> manifest, Clock clock) {
		this.self = self;
		this.manifest = manifest;
		this.clock = clock;
		this.lastContactMillis = clock.millis();
	}

	/**
	 * Have a listener told of each newly known take-back.
	 * @param listener the listener
	 */
	public void addListener(Consumer<TakeBack> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Record that the log or a peer was heard.
	 */
	public synchronized void recordContact() {
		this.lastContactMillis = this.clock.millis();
	}

	/**
	 * Choose the version for a request.
	 * @param service the service
	 * @param requestId the id of the request, the same for each of its attempts
	 * @param route what the evidence is counted under
	 * @param repeatable whether the request may be repeated
	 * @return the choice
	 */
	public synchronized VersionChoice chooseVersion(Service service, String requestId, String route,
			boolean repeatable) {
		Optional<Rollout> rollout = rollout(service.name());
		if (rollout.isEmpty()) {
			return new VersionChoice(service, service.version(), List.of(), null, Arm.CURRENT, route);
		}
		boolean mayExplore = repeatable || !hasRepeatable(service);
		Arm arm = isInformed() ? TrafficSplitter.choose(decide(rollout.get()), requestId, mayExplore) : Arm.CURRENT;
		if (arm == Arm.CANDIDATE) {
			return new VersionChoice(service, rollout.get().candidate(), rollout.get().zones(), rollout.get(), arm,
					route);
		}
		return new VersionChoice(service, service.version(), List.of(), rollout.get(), arm, route);
	}

	/**
	 * Return the choice that goes on with the version that began a stream.
	 * @param service the service
	 * @param version the version that began it
	 * @param route what the evidence is counted under
	 * @return a choice of that version
	 */
	public synchronized VersionChoice resumeVersion(Service service, String version, String route) {
		Arm arm = version.equals(service.version()) ? Arm.CURRENT : Arm.CANDIDATE;
		return new VersionChoice(service, version, List.of(), rollout(service.name()).orElse(null), arm, route);
	}

	private boolean isInformed() {
		return this.clock.millis() - this.lastContactMillis <= CONTACT_LOST_MILLIS;
	}

	private static boolean hasRepeatable(Service service) {
		return service.kind() == ServiceKind.MODEL || service.routes().stream().anyMatch(Route::repeatable);
	}

	private Optional<Rollout> rollout(String service) {
		return this.manifest.get()
			.rollout()
			.stream()
			.filter((candidate) -> candidate.service().equals(service))
			.findFirst();
	}

	private RolloutDecision decide(Rollout rollout) {
		return RolloutPolicy.decide(rollout, this.evidence, this.takenBack.get(RolloutKey.of(rollout)),
				this.clock.millis());
	}

	/**
	 * Count the outcome of a request.
	 * @param choice the choice made for it
	 * @param failed whether the version failed it
	 * @param latencyMillis the time to the first token or to the whole answer
	 */
	public void recordOutcome(VersionChoice choice, boolean failed, long latencyMillis) {
		Rollout rollout = choice.rollout();
		if (rollout == null) {
			return;
		}
		synchronized (this) {
			AdaptiveLatencyThreshold threshold = this.thresholds.computeIfAbsent(
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
	 * Count the outcome of a call. A failure of a server that was announced to leave says
	 * nothing about its version.
	 * @param choice the choice made for it
	 * @param result what became of the call
	 * @param leaving whether the server was announced to leave
	 * @param latencyMillis how long the call took
	 */
	public void recordOutcome(VersionChoice choice, CallResult result, boolean leaving, long latencyMillis) {
		boolean failed = !(result instanceof CallResult.Answered answered)
				|| answered.answer().status() >= SERVER_ERROR;
		if (!failed || !leaving) {
			recordOutcome(choice, failed, latencyMillis);
		}
	}

	/**
	 * Look at the evidence and take back candidates that it shows bad.
	 */
	public void takeBackRegressions() {
		List<TakeBack> found = new ArrayList<>();
		synchronized (this) {
			List<Rollout> underWay = this.manifest.get().rollout();
			this.evidence.retain(underWay.stream().map(RolloutKey::of).collect(Collectors.toSet()));
			for (Rollout rollout : underWay) {
				RolloutKey key = RolloutKey.of(rollout);
				if (!this.takenBack.containsKey(key)) {
					RolloutPolicy.findRegression(rollout, this.evidence, this.clock.millis())
						.ifPresent((reason) -> found
							.add(new TakeBack(key, this.self.toString(), reason, this.clock.millis())));
				}
			}
		}
		found.forEach(this::takeBack);
	}

	/**
	 * Take a candidate back, for good.
	 * @param decision the decision
	 * @return {@code true} if it was news to this node
	 */
	public boolean takeBack(TakeBack decision) {
		synchronized (this) {
			TakeBack held = this.takenBack.get(decision.rollout());
			if (held == null || decision.precedes(held)) {
				this.takenBack.put(decision.rollout(), decision);
			}
			if (held != null) {
				return false;
			}
		}
		logger.atWarning().log("%s taken back by %s: %s", decision.rollout(), decision.by(), decision.reason());
		this.listeners.forEach((listener) -> listener.accept(decision));
		return true;
	}

	/**
	 * Return every known take-back of a rollout that the manifest still has.
	 * @return the decisions
	 */
	public synchronized List<TakeBack> takeBacks() {
		return this.manifest.get()
			.rollout()
			.stream()
			.map((rollout) -> this.takenBack.get(RolloutKey.of(rollout)))
			.filter((decision) -> decision != null)
			.toList();
	}

	/**
	 * Merge evidence that a neighbour sent.
	 * @param rows the rows
	 */
	public synchronized void mergeEvidence(List<EvidenceRow> rows) {
		rows.forEach(this.evidence::merge);
	}

	/**
	 * Return evidence that changed after a sequence number.
	 * @param afterSequence the sequence number
	 * @param maxRows the most rows to return
	 * @return the rows
	 */
	public synchronized EvidenceTable.Page evidenceChangedAfter(long afterSequence, int maxRows) {
		return this.evidence.changesAfter(afterSequence, maxRows);
	}

	/**
	 * Return what this node does about each rollout.
	 * @return the reports
	 */
	public synchronized List<RolloutReport> reports() {
		return this.manifest.get()
			.rollout()
			.stream()
			.map((rollout) -> RolloutReport.of(rollout, decide(rollout)))
			.toList();
	}

	/**
	 * Find a rollout under way.
	 * @param service the service
	 * @return its identity
	 */
	public synchronized Optional<RolloutKey> find(String service) {
		return rollout(service).map(RolloutKey::of);
	}

	/**
	 * What a node does about a rollout.
	 *
	 * @param service the service
	 * @param candidate the version that takes over
	 * @param phase the phase
	 * @param sharePermille the share of requests for the candidate, in thousandths
	 * @param reason why, with the figures
	 * @param deadlineEpochSeconds when all traffic must have moved
	 */
	public record RolloutReport(String service, String candidate, String phase, int sharePermille, String reason,
			long deadlineEpochSeconds) {

		static RolloutReport of(Rollout rollout, RolloutDecision decision) {
			return new RolloutReport(rollout.service(), rollout.candidate(), decision.phase().name(),
					decision.sharePermille(), decision.reason(), rollout.deadlineEpochSeconds());
		}

	}

}
