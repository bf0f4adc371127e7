package io.flamingogap.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * What is known of the prompt parts and the requests of one service: in which crashes of
 * servers they may have had a part, and when a server last survived them.
 * <p>
 * Not thread-safe.
 */
final class CrashEvidence {

	/**
	 * Crashes that a part or a request must explain before requests are stopped for it.
	 */
	private static final int MIN_CRASHES = 3;

	/**
	 * Servers that crash within this time of each other count as one crash of a part: a
	 * part seldom crashes several servers at once, other causes do. A request is at one
	 * server at a time, whatever else crashes servers.
	 */
	private static final long SAME_MOMENT_MILLIS = 100;

	/** How long a crash counts. */
	private static final long CRASH_MEMORY_MILLIS = 600_000;

	/**
	 * How long before a crash a server may have survived a part so that the part is no
	 * suspect. Limited, because a new version of the servers may fail where the old one
	 * didn't.
	 */
	private static final long SURVIVAL_MEMORY_MILLIS = 60_000;

	/** Bounds the memory for parts that servers survived. */
	private static final int MAX_SURVIVED_PARTS = 4_096;

	/** Bounds the memory for parts that were seen in crashes. */
	private static final int MAX_CRASH_PARTS = 1_024;

	/** Bounds the memory for requests that were seen in crashes. */
	private static final int MAX_CRASH_REQUESTS = 4_096;

	/** Bounds the memory for crashes. */
	private static final int MAX_RUNS = 256;

	/**
	 * Parts that share at least this much of equally many crashes can't be told apart as
	 * causes.
	 */
	private static final double SAME_SHARE = 2.0 / 3;

	private final Map<String, Long> survivedAtMillis = boundedMap(MAX_SURVIVED_PARTS);

	/** The crashes that each part was seen in, with their times. */
	private final Map<String, Map<CrashedRun, Long>> crashesByPart = boundedMap(MAX_CRASH_PARTS);

	/** The crashes that each request was seen in, with their times. */
	private final Map<String, Map<CrashedRun, Long>> crashesByRequest = boundedMap(MAX_CRASH_REQUESTS);

	private final Map<CrashedRun, Long> crashTimes = boundedMap(MAX_RUNS);

	private long lastCrashAtMillis = Long.MIN_VALUE / 2;

	private static <K, V> Map<K, V> boundedMap(int maxSize) {
		return new LinkedHashMap<>(16, 0.75f, true) {
			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
				return size() > maxSize;
			}
		};
	}

	/**
	 * Add what a node saw of a crash. Adding it again has no effect.
	 * @param sighting the sighting, by any node
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code false} if all of it was known
	 */
	boolean addCrash(CrashSighting sighting, long nowMillis) {
		CrashedRun run = new CrashedRun(sighting.server(), sighting.startedAtMillis());
		long crashedAtMillis = this.crashTimes.computeIfAbsent(run, (newRun) -> {
			forgetCrashes(this.crashesByPart, nowMillis);
			forgetCrashes(this.crashesByRequest, nowMillis);
			if (nowMillis - this.lastCrashAtMillis > SAME_MOMENT_MILLIS) {
				this.lastCrashAtMillis = nowMillis;
			}
			return this.lastCrashAtMillis;
		});
		boolean changed = false;
		for (String suspect : sighting.suspects()) {
			Map<CrashedRun, Long> crashes = crashesOf(suspect).computeIfAbsent(suspect, (id) -> new HashMap<>());
			if (!survivedBefore(suspect, crashedAtMillis)) {
				changed |= crashes.put(run, crashedAtMillis) == null;
			}
		}
		return changed;
	}

	private static void forgetCrashes(Map<String, Map<CrashedRun, Long>> crashesBySuspect, long nowMillis) {
		crashesBySuspect.values()
			.forEach((crashes) -> crashes.values().removeIf((millis) -> nowMillis - millis > CRASH_MEMORY_MILLIS));
		crashesBySuspect.values().removeIf(Map::isEmpty);
	}

	private Map<String, Map<CrashedRun, Long>> crashesOf(String suspect) {
		return RequestFingerprint.isFingerprint(suspect) ? this.crashesByRequest : this.crashesByPart;
	}

	private boolean survivedBefore(String part, long crashedAtMillis) {
		Long survivedAt = this.survivedAtMillis.get(part);
		return survivedAt != null && crashedAtMillis - survivedAt <= SURVIVAL_MEMORY_MILLIS;
	}

	/**
	 * Record that a server survived beginning to answer a part or a request.
	 * @param suspect the id of the part, or the fingerprint of the request
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if it was suspected of a crash
	 */
	boolean addSurvival(String suspect, long nowMillis) {
		if (!RequestFingerprint.isFingerprint(suspect)) {
			this.survivedAtMillis.put(suspect, nowMillis);
		}
		Map<CrashedRun, Long> crashes = crashesOf(suspect).remove(suspect);
		return crashes != null && !crashes.isEmpty();
	}

	/**
	 * Return whether requests are suspected of crashes.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code false} if the survival of a request tells nothing
	 */
	boolean hasSuspectRequests(long nowMillis) {
		return nowMillis - this.lastCrashAtMillis <= CRASH_MEMORY_MILLIS && !this.crashesByRequest.isEmpty();
	}

	/**
	 * Return whether one more crash would stop a request.
	 * @param fingerprint the fingerprint of the request
	 * @return {@code true} if it should not be sent to a further server for now
	 */
	boolean isNearlyCause(String fingerprint) {
		return this.crashesByRequest.getOrDefault(fingerprint, Map.of()).size() >= MIN_CRASHES - 1;
	}

	/**
	 * Return whether a server has survived a part a short time ago.
	 * @param part the id of the part
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if a crash now wouldn't make the part a suspect
	 */
	boolean hasSurvived(String part, long nowMillis) {
		return survivedBefore(part, nowMillis);
	}

	/**
	 * Find the parts and requests that explain the crashes: first those that were in most
	 * of them, then those in most of the crashes that are left. Parts that are as likely
	 * as each other to be the cause of the same crashes are returned together. So is each
	 * request with the parts that are as likely; requests are never returned together,
	 * since no request is two. A request that others explain is returned nonetheless,
	 * since a few crashes tell little of which it is.
	 * @return sets of parts and requests, each with a cause of crashes; empty without
	 * enough crashes
	 */
	List<Set<String>> findCauses() {
		Map<String, Map<CrashedRun, Long>> unexplained = new TreeMap<>();
		this.crashesByPart.forEach((part, crashes) -> addIfEligible(unexplained, part, crashes));
		this.crashesByRequest.forEach((request, crashes) -> addIfEligible(unexplained, request, crashes));
		List<Set<String>> causes = new ArrayList<>();
		while (!unexplained.isEmpty()) {
			Set<Long> explained = unexplained.values()
				.stream()
				.map(CrashEvidence::timesOf)
				.max(Comparator.comparingInt(Set::size))
				.orElseThrow();
			Set<String> likely = new HashSet<>();
			unexplained.forEach((suspect, crashes) -> {
				Set<Long> times = timesOf(crashes);
				if (times.size() == explained.size() && sharedCount(times, explained) >= SAME_SHARE * times.size()) {
					likely.add(suspect);
				}
			});
			causes.addAll(separateRequests(likely));
			unexplained.values().forEach((crashes) -> crashes.values().removeAll(explained));
			unexplained.entrySet().removeIf((entry) -> !isEligible(entry.getKey(), entry.getValue()));
		}
		this.crashesByRequest.forEach((request, crashes) -> {
			if (isEligible(request, crashes) && causes.stream().noneMatch((cause) -> cause.contains(request))) {
				causes.add(Set.of(request));
			}
		});
		return causes;
	}

	private static void addIfEligible(Map<String, Map<CrashedRun, Long>> eligible, String suspect,
			Map<CrashedRun, Long> crashes) {
		if (isEligible(suspect, crashes)) {
			eligible.put(suspect, new HashMap<>(crashes));
		}
	}

	private static boolean isEligible(String suspect, Map<CrashedRun, Long> crashes) {
		int count = RequestFingerprint.isFingerprint(suspect) ? crashes.size() : timesOf(crashes).size();
		return count >= MIN_CRASHES;
	}

	private static Set<Long> timesOf(Map<CrashedRun, Long> crashes) {
		return new HashSet<>(crashes.values());
	}

	private List<Set<String>> separateRequests(Set<String> likely) {
		Map<Boolean, List<String>> byKind = likely.stream()
			.collect(Collectors.partitioningBy(RequestFingerprint::isFingerprint));
		if (byKind.get(true).isEmpty()) {
			return List.of(likely);
		}
		return byKind.get(true).stream().map((request) -> {
			Set<CrashedRun> runs = this.crashesByRequest.get(request).keySet();
			Set<String> cause = new HashSet<>(Set.of(request));
			// A part of other requests may have been in crashes at the same moments.
			byKind.get(false)
				.stream()
				.filter((part) -> this.crashesByPart.get(part).keySet().containsAll(runs))
				.forEach(cause::add);
			return cause;
		}).toList();
	}

	/**
	 * Return the crashes that suspects were all seen in.
	 * @param service the service
	 * @param suspects the suspects; at least one
	 * @return a sighting of each crash, with these suspects
	 */
	List<CrashSighting> crashesWith(String service, Set<String> suspects) {
		Set<CrashedRun> runs = new HashSet<>(this.crashTimes.keySet());
		suspects.forEach((suspect) -> runs.retainAll(crashesOf(suspect).getOrDefault(suspect, Map.of()).keySet()));
		return runs.stream()
			.map((run) -> new CrashSighting(run.server(), run.startedAtMillis(), service, suspects))
			.toList();
	}

	/**
	 * Return whether what was taken for a cause is none, since later crashes tell that
	 * others are the cause of those that it was in.
	 * @param suspects the ids of parts, with the fingerprint of a request if it is one
	 * that was taken for a cause
	 * @param causes the causes that were found last
	 * @return {@code false} if they are a cause, or nothing is known of them
	 */
	boolean isRefuted(Set<String> suspects, List<Set<String>> causes) {
		return !causes.isEmpty() && suspects.stream().allMatch((suspect) -> crashesOf(suspect).containsKey(suspect))
				&& causes.stream().noneMatch(suspects::containsAll);
	}

	private static long sharedCount(Set<Long> times, Set<Long> otherTimes) {
		return times.stream().filter(otherTimes::contains).count();
	}

	/**
	 * A run of a server that has crashed.
	 */
	private record CrashedRun(String server, long startedAtMillis) {
	}

}
