package io.flamingogap.core.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Requests that backend servers began, by time window and account, of one run of a node.
 * The counts only grow.
 * <p>
 * Not safe for use by several threads.
 */
public final class UsageCounts {

	/** Windows that are kept; more than a report may be late. */
	private static final int KEPT_WINDOWS = 6;

	private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

	/**
	 * Count a request.
	 * @param window the number of the window
	 * @param account the name of the account
	 */
	public void count(long window, String account) {
		this.windows.computeIfAbsent(window, (number) -> new HashMap<>()).merge(account, 1L, Long::sum);
		trim();
	}

	/**
	 * Merge a later or earlier state of the same counts.
	 * @param window the number of the window
	 * @param counts requests by account
	 */
	public void merge(long window, Map<String, Long> counts) {
		Map<String, Long> held = this.windows.computeIfAbsent(window, (number) -> new HashMap<>());
		counts.forEach((account, count) -> held.merge(account, count, Math::max));
		trim();
	}

	private void trim() {
		while (this.windows.size() > KEPT_WINDOWS) {
			this.windows.pollFirstEntry();
		}
	}

	/**
	 * Return the counts of a window.
	 * @param window the number of the window
	 * @return requests by account
	 */
	public Map<String, Long> countsOf(long window) {
		return Map.copyOf(this.windows.getOrDefault(window, Map.of()));
	}

	/**
	 * Return the newest windows.
	 * @param most the most windows to return
	 * @return requests by window and account
	 */
	public Map<Long, Map<String, Long>> newestWindows(int most) {
		Map<Long, Map<String, Long>> newest = new TreeMap<>();
		this.windows.descendingMap()
			.entrySet()
			.stream()
			.limit(most)
			.forEach((entry) -> newest.put(entry.getKey(), Map.copyOf(entry.getValue())));
		return newest;
	}

}
