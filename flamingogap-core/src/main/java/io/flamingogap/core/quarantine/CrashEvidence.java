package io.flamingogap.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What is known of the prompt parts of one service: in which crashes of servers they may
 * have had a part, and when a server last survived them.
 * <p>
 * Not thread-safe.
 */
final class CrashEvidence {

	/** Crashes that a part must explain before requests are stopped for it. */
	private static final int MIN_CRASHES = 3;

	/**
	 * Servers that crash within this time of each other count as one crash: a part seldom
	 * crashes several servers at once, other causes do.
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

	/** Bounds the memory for crashes. */
	private static final int MAX_RUNS = 256;

	/**
	 * Parts that share at least this much of equally many crashes can't be told apart as
	 * causes.
	 */
	private static final double SAME_SHARE = 2.0 / 3;

	private final Map<String, Long> survivedAtMillis = boundedMap(MAX_SURVIVED_PARTS);

	/** The times of the crashes that each part was seen in. */
	private final Map<String, Set<Long>> crashesByPart = boundedMap(MAX_CRASH_PARTS);

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
	 */
	void addCrash(CrashSighting sighting, long nowMillis) {
		this.crashesByPart.values()
			.forEach((crashes) -> crashes.removeIf((millis) -> nowMillis - millis > CRASH_MEMORY_MILLIS));
		this.crashesByPart.values().removeIf(Set::isEmpty);
		long crashedAtMillis = this.crashTimes
			.computeIfAbsent(new CrashedRun(sighting.server(), sighting.startedAtMillis()), (run) -> {
				if (nowMillis - this.lastCrashAtMillis > SAME_MOMENT_MILLIS) {
					this.lastCrashAtMillis = nowMillis;
				}
				return this.lastCrashAtMillis;
			});
		for (String part : sighting.parts()) {
			Set<Long> crashes = this.crashesByPart.computeIfAbsent(part, (id) -> new HashSet<>());
			if (!survivedBefore(part, crashedAtMillis)) {
				crashes.add(crashedAtMillis);
			}
		}
	}

	private boolean survivedBefore(String part, long crashedAtMillis) {
		Long survivedAt = this.survivedAtMillis.get(part);
		return survivedAt != null && crashedAtMillis - survivedAt <= SURVIVAL_MEMORY_MILLIS;
	}

	/**
	 * Record that a server survived beginning to answer a part.
	 * @param part the id of the part
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if the part was suspected of a crash
	 */
	boolean addSurvival(String part, long nowMillis) {
		this.survivedAtMillis.put(part, nowMillis);
		Set<Long> crashes = this.crashesByPart.remove(part);
		return crashes != null && !crashes.isEmpty();
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
	 * Find the parts that explain the crashes: first those that were in most of them,
	 * then those in most of the crashes that are left. Parts that are as likely as each
	 * other to be the cause of the same crashes are returned together.
	 * @return sets of parts, each with a cause of crashes; empty without enough crashes
	 */
	List<Set<String>> findCauses() {
		Map<String, Set<Long>> unexplained = new TreeMap<>();
		this.crashesByPart.forEach((part, times) -> unexplained.put(part, new HashSet<>(times)));
		List<Set<String>> causes = new ArrayList<>();
		while (true) {
			unexplained.values().removeIf((times) -> times.size() < MIN_CRASHES);
			if (unexplained.isEmpty()) {
				return causes;
			}
			Set<Long> explained = Collections.max(unexplained.values(), Comparator.comparingInt(Set::size));
			Set<String> cause = new HashSet<>();
			unexplained.forEach((part, times) -> {
				if (times.size() == explained.size() && sharedCount(times, explained) >= SAME_SHARE * times.size()) {
					cause.add(part);
				}
			});
			causes.add(cause);
			Set<Long> explainedTimes = Set.copyOf(explained);
			unexplained.values().forEach((times) -> times.removeAll(explainedTimes));
		}
	}

	/**
	 * Return whether parts that were taken for a cause are none, since later crashes tell
	 * that others are the cause of those that the parts were in.
	 * @param parts the ids of the parts
	 * @return {@code false} if they are a cause, or nothing is known of them
	 */
	boolean isRefuted(Set<String> parts) {
		List<Set<String>> causes = findCauses();
		return !causes.isEmpty() && this.crashesByPart.keySet().containsAll(parts)
				&& causes.stream().noneMatch(parts::containsAll);
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
