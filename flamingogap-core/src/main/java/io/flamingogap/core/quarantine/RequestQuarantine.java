package io.flamingogap.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides which requests are stopped because they, or a part of their prompts, crash the
 * servers that begin to answer them. A part or a request is stopped once it explains
 * several crashes of servers and no server has survived it. When a quarantine ends,
 * requests are let through one at a time until a server has survived one; the next crash
 * begins the quarantine anew.
 * <p>
 * The suspects of a request are the ids of the shared parts of its prompt, and its
 * {@link RequestFingerprint}.
 * <p>
 * Not thread-safe.
 */
public final class RequestQuarantine {

	private static final long QUARANTINE_MILLIS = 600_000;

	/** How long the outcome of a request that was let through is awaited. */
	private static final long TRIAL_MILLIS = 15_000;

	/** How long after its end a quarantine begins anew with a single crash. */
	private static final long PROBATION_MILLIS = 600_000;

	/** Bounds the memory and the effort for rules. */
	private static final int MAX_RULES = 256;

	private final long trialDelayMillis;

	private final Map<String, CrashEvidence> evidenceByService = new HashMap<>();

	private final Map<QuarantineRule, RuleState> rules = new HashMap<>();

	/**
	 * Create a quarantine without rules.
	 * @param trialDelayMillis how long after the end of a quarantine this node lets the
	 * first request through, in milliseconds; should differ between nodes
	 */
	public RequestQuarantine(long trialDelayMillis) {
		this.trialDelayMillis = trialDelayMillis;
	}

	private CrashEvidence evidenceOf(String service) {
		return this.evidenceByService.computeIfAbsent(service, (name) -> new CrashEvidence());
	}

	/**
	 * Record what a node saw of a crash. Recording it again has no effect.
	 * @param sighting the sighting, by this or another node
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return what changed
	 */
	public CrashEffect recordCrash(CrashSighting sighting, long nowMillis) {
		if (!evidenceOf(sighting.service()).addCrash(sighting, nowMillis)) {
			return CrashEffect.NONE;
		}
		List<QuarantineRule> begun = new ArrayList<>();
		this.rules.forEach((rule, state) -> {
			if (nowMillis >= state.untilMillis && rule.matches(sighting.service(), sighting.suspects())) {
				state.begin(nowMillis, QUARANTINE_MILLIS);
				begun.add(rule);
			}
		});
		List<Set<String>> causes = evidenceOf(sighting.service()).findCauses();
		List<QuarantineRule> ended = this.rules.keySet()
			.stream()
			.filter((rule) -> rule.service().equals(sighting.service()) && isRefuted(rule, causes))
			.toList();
		ended.forEach(this.rules::remove);
		begun.removeAll(ended);
		begun.addAll(beginNewRules(sighting.service(), causes, nowMillis));
		return new CrashEffect(begun, ended);
	}

	private boolean isRefuted(QuarantineRule rule, List<Set<String>> causes) {
		return evidenceOf(rule.service()).isRefuted(rule.suspects(), causes);
	}

	private List<QuarantineRule> beginNewRules(String service, List<Set<String>> causes, long nowMillis) {
		List<QuarantineRule> begun = new ArrayList<>();
		for (Set<String> cause : causes) {
			QuarantineRule rule = QuarantineRule.of(service, cause);
			if (this.rules.keySet().stream().noneMatch((known) -> known.matches(service, cause))) {
				RuleState state = new RuleState();
				state.begin(nowMillis, QUARANTINE_MILLIS);
				put(rule, state);
				begun.add(rule);
			}
		}
		return begun;
	}

	private void put(QuarantineRule rule, RuleState state) {
		if (this.rules.size() >= MAX_RULES && !this.rules.containsKey(rule)) {
			this.rules.entrySet()
				.stream()
				.min(Comparator.comparingLong((entry) -> entry.getValue().untilMillis))
				.map(Map.Entry::getKey)
				.ifPresent(this.rules::remove);
		}
		this.rules.put(rule, state);
	}

	/**
	 * Return whether requests to a service are suspected of crashes.
	 * @param service the name of the service
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code false} if the survival of a request tells nothing but that of its
	 * parts
	 */
	public boolean hasSuspectRequests(String service, long nowMillis) {
		CrashEvidence evidence = this.evidenceByService.get(service);
		return evidence != null && evidence.hasSuspectRequests(nowMillis);
	}

	/**
	 * Return whether one more crash would stop a request.
	 * @param service the service that the request is for
	 * @param fingerprint the fingerprint of the request
	 * @return {@code true} if it should not be sent to a further server before it is
	 * known whether the last one has crashed
	 */
	public boolean isNearlyCause(String service, String fingerprint) {
		CrashEvidence evidence = this.evidenceByService.get(service);
		return evidence != null && evidence.isNearlyCause(fingerprint);
	}

	/**
	 * Record that a server survived beginning to answer a request, which ends the
	 * quarantine of its suspects.
	 * @param service the service of the server
	 * @param suspects the suspects of the request
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return what changed
	 */
	public SurvivalEffect recordSurvival(String service, Collection<String> suspects, long nowMillis) {
		CrashEvidence evidence = evidenceOf(service);
		boolean contradicts = false;
		for (String suspect : suspects) {
			contradicts |= evidence.addSurvival(suspect, nowMillis);
		}
		if (this.rules.isEmpty() && !contradicts) {
			return SurvivalEffect.NONE;
		}
		List<QuarantineRule> ended = this.rules.keySet()
			.stream()
			.filter((rule) -> rule.matches(service, suspects))
			.toList();
		ended.forEach(this.rules::remove);
		List<QuarantineRule> begun = contradicts ? beginNewRules(service, evidence.findCauses(), nowMillis) : List.of();
		return new SurvivalEffect(contradicts || !ended.isEmpty(), ended, begun);
	}

	/**
	 * Return the crashes that a rule rests on, for nodes that did not learn of all.
	 * @param rule the rule
	 * @return a sighting of each crash, with the suspects of the rule only
	 */
	public List<CrashSighting> evidenceFor(QuarantineRule rule) {
		return evidenceOf(rule.service()).crashesWith(rule.service(), rule.suspects());
	}

	/**
	 * Return the suspects of a sighting that a server has survived a short time ago, as
	 * far as this node knows.
	 * @param sighting the sighting of another node
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the suspects
	 */
	public List<String> findSurvived(CrashSighting sighting, long nowMillis) {
		CrashEvidence evidence = evidenceOf(sighting.service());
		return sighting.suspects().stream().filter((suspect) -> evidence.hasSurvived(suspect, nowMillis)).toList();
	}

	/**
	 * Add a rule that another node began, or prolong it. Has no effect if this node knows
	 * better.
	 * @param rule the rule
	 * @param remainingMillis how long its quarantine still lasts, in milliseconds
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if the rule was not known
	 */
	public boolean adopt(QuarantineRule rule, long remainingMillis, long nowMillis) {
		if (isRefuted(rule, evidenceOf(rule.service()).findCauses())) {
			return false;
		}
		RuleState known = this.rules.get(rule);
		RuleState state = (known != null) ? known : new RuleState();
		if (nowMillis + remainingMillis > state.untilMillis) {
			state.begin(nowMillis, Math.min(QUARANTINE_MILLIS, remainingMillis));
		}
		put(rule, state);
		return known == null;
	}

	/**
	 * Remove a rule that another node ended.
	 * @param rule the rule, which may be unknown
	 */
	public void release(QuarantineRule rule) {
		this.rules.remove(rule);
	}

	/**
	 * Return how long a request has to wait, or let it through. If its quarantine has
	 * ended, the next one has to wait for its outcome.
	 * @param service the service that the request is for
	 * @param suspects the suspects of the request
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the time in milliseconds; empty if the request is let through
	 */
	public OptionalLong admit(String service, Collection<String> suspects, long nowMillis) {
		if (this.rules.isEmpty()) {
			return OptionalLong.empty();
		}
		List<RuleState> matching = new ArrayList<>();
		this.rules.forEach((rule, state) -> {
			if (rule.matches(service, suspects)) {
				matching.add(state);
			}
		});
		OptionalLong waitMillis = matching.stream()
			.mapToLong((state) -> state.nextTrialMillis - nowMillis)
			.filter((millis) -> millis > 0)
			.max();
		if (waitMillis.isEmpty()) {
			matching.forEach((state) -> state.nextTrialMillis = nowMillis + TRIAL_MILLIS);
		}
		return waitMillis;
	}

	/**
	 * Return whether requests are stopped, whatever was let through before.
	 * @param service the service that the request is for
	 * @param suspects the suspects of the request
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if no server may be sent such a request
	 */
	public boolean isQuarantined(String service, Collection<String> suspects, long nowMillis) {
		return !this.rules.isEmpty() && this.rules.entrySet()
			.stream()
			.anyMatch((rule) -> nowMillis < rule.getValue().untilMillis && rule.getKey().matches(service, suspects));
	}

	/**
	 * Remove the rules whose quarantine and probation have ended.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the removed rules
	 */
	public List<QuarantineRule> expire(long nowMillis) {
		List<QuarantineRule> expired = this.rules.entrySet()
			.stream()
			.filter((rule) -> nowMillis >= rule.getValue().untilMillis + PROBATION_MILLIS)
			.map(Map.Entry::getKey)
			.toList();
		expired.forEach(this.rules::remove);
		return expired;
	}

	/**
	 * Return how long the quarantine of a rule still lasts.
	 * @param rule the rule
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the time in milliseconds; 0 if it has ended or the rule is unknown
	 */
	public long remainingMillis(QuarantineRule rule, long nowMillis) {
		RuleState state = this.rules.get(rule);
		return (state != null) ? Math.max(0, state.untilMillis - nowMillis) : 0;
	}

	/**
	 * Return the number of rules, including those on probation.
	 * @return the number now
	 */
	public int size() {
		return this.rules.size();
	}

	/**
	 * What a crash changed.
	 *
	 * @param begun the rules whose quarantine began
	 * @param ended the rules that were removed, since other parts explain their crashes
	 */
	public record CrashEffect(List<QuarantineRule> begun, List<QuarantineRule> ended) {

		static final CrashEffect NONE = new CrashEffect(List.of(), List.of());

	}

	/**
	 * What a survival changed.
	 *
	 * @param contradicts whether a part was suspected or stopped, so that other nodes
	 * should know
	 * @param ended the rules that were removed
	 * @param begun the rules that began, since one of several possible causes is left
	 */
	public record SurvivalEffect(boolean contradicts, List<QuarantineRule> ended, List<QuarantineRule> begun) {

		static final SurvivalEffect NONE = new SurvivalEffect(false, List.of(), List.of());

	}

	private final class RuleState {

		private long untilMillis = Long.MIN_VALUE / 2;

		private long nextTrialMillis;

		private void begin(long nowMillis, long lengthMillis) {
			this.untilMillis = nowMillis + lengthMillis;
			this.nextTrialMillis = this.untilMillis + RequestQuarantine.this.trialDelayMillis;
		}

	}

}
