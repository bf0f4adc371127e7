package io.flamingogap.core.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Numbers of requests that backend servers have started to process for one node
 * incarnation, by time window and client account. The counts never decrease, so merging
 * them in any order gives the same result.
 * <p>
 * Not thread-safe.
 */
public final class UsageCounts {

	/** Number of newest windows to keep, enough to merge reports that arrive late. */
	private static final int MAX_KEPT_WINDOWS = 6;

	private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

	/**
	 * Count one request.
	 * @param window the number of the time window, which grows by 1 from window to window
	 * @param account the name of the client account
	 */
	public void count(long window, String account) {
		this.windows.computeIfAbsent(window, (number) -> new HashMap<>()).merge(account, 1L, Long::sum);
		trim();
	}

	/**
	 * Merge an earlier or later state of the same counts; the higher count applies.
	 * @param window the number of the time window
	 * @param counts the numbers of requests by account name
	 */
	public void merge(long window, Map<String, Long> counts) {
		Map<String, Long> kept = this.windows.computeIfAbsent(window, (number) -> new HashMap<>());
		counts.forEach((account, count) -> kept.merge(account, count, Math::max));
		trim();
	}

	private void trim() {
		while (this.windows.size() > MAX_KEPT_WINDOWS) {
			this.windows.pollFirstEntry();
		}
	}

	/**
	 * Return the counts of a time window.
	 * @param window the number of the time window
	 * @return the numbers of requests by account name; empty if the window is unknown or
	 * no longer kept
	 */
	public Map<String, Long> countsOf(long window) {
		return Map.copyOf(this.windows.getOrDefault(window, Map.of()));
	}

	/**
	 * Return the counts of the newest time windows.
	 * @param maxWindows the maximum number of windows to return
	 * @return the numbers of requests by window number and account name
	 */
	public Map<Long, Map<String, Long>> newestWindows(int maxWindows) {
		Map<Long, Map<String, Long>> newest = new TreeMap<>();
		this.windows.descendingMap()
			.entrySet()
			.stream()
			.limit(maxWindows)
			.forEach((entry) -> newest.put(entry.getKey(), Map.copyOf(entry.getValue())));
		return newest;
	}

}
