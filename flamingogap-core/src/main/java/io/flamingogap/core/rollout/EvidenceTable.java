package io.flamingogap.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Evidence from all nodes. Each row is counted by one run of a node, and its counts only
 * grow. Rows can therefore be merged repeatedly and in any order.
 * <p>
 * Not thread-safe.
 */
public final class EvidenceTable {

	private final Map<EvidenceKey, VersionedTally> rows = new HashMap<>();

	private long sequence;

	/**
	 * Count a request of this node.
	 * @param key the row to count it in
	 * @param failed whether the request failed
	 * @param slow whether the request was slow
	 */
	public void count(EvidenceKey key, boolean failed, boolean slow) {
		VersionedTally existing = this.rows.get(key);
		store(key, ((existing != null) ? existing.tally : Tally.NONE).plusRequest(failed, slow));
	}

	/**
	 * Merge a row that a neighbour sent.
	 * @param row a row, which may be older or newer than the known one
	 * @return {@code true} if the table changed
	 */
	public boolean merge(EvidenceRow row) {
		VersionedTally existing = this.rows.get(row.key());
		Tally merged = (existing != null) ? existing.tally.merge(row.tally()) : row.tally();
		if (existing != null && merged.equals(existing.tally)) {
			return false;
		}
		store(row.key(), merged);
		return true;
	}

	private void store(EvidenceKey key, Tally tally) {
		this.sequence++;
		this.rows.put(key, new VersionedTally(tally, this.sequence));
	}

	/**
	 * Return the rows that changed after a sequence number, oldest change first.
	 * @param afterSequence the sequence number of the last page; 0 for the first page
	 * @param maxRows the maximum number of rows to return
	 * @return the rows and the sequence number to continue from
	 */
	public Page changesAfter(long afterSequence, int maxRows) {
		List<Map.Entry<EvidenceKey, VersionedTally>> changed = this.rows.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().sequence > afterSequence)
			.sorted(Comparator.comparingLong((entry) -> entry.getValue().sequence))
			.limit(maxRows)
			.toList();
		List<EvidenceRow> page = new ArrayList<>();
		changed.forEach((entry) -> page.add(new EvidenceRow(entry.getKey(), entry.getValue().tally)));
		long lastSequence = changed.isEmpty() ? afterSequence : changed.get(changed.size() - 1).getValue().sequence;
		return new Page(page, lastSequence);
	}

	/**
	 * Visit the evidence of a rollout.
	 * @param rollout the rollout whose rows to visit
	 * @param visitor called with each row, in no particular order
	 */
	public void forEach(RolloutKey rollout, BiConsumer<EvidenceKey, Tally> visitor) {
		this.rows.forEach((key, versioned) -> {
			if (key.rollout().equals(rollout)) {
				visitor.accept(key, versioned.tally);
			}
		});
	}

	/**
	 * Remove the evidence of rollouts that the manifest no longer contains.
	 * @param kept the rollouts to keep
	 */
	public void retain(Set<RolloutKey> kept) {
		this.rows.keySet().removeIf((key) -> !kept.contains(key.rollout()));
	}

	/**
	 * Return the number of rows.
	 * @return the count over all rollouts
	 */
	public int size() {
		return this.rows.size();
	}

	/**
	 * Page of changed rows.
	 *
	 * @param rows the rows, oldest change first
	 * @param sequence the sequence number of the last row; the requested one if there are
	 * no rows
	 */
	public record Page(List<EvidenceRow> rows, long sequence) {
	}

	private record VersionedTally(Tally tally, long sequence) {
	}

}
