package io.flamingogap.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Evidence from all nodes. Each row is counted by one node run and only grows, so rows
 * merge in any order and as often as they come.
 * <p>
 * Not safe for use by several threads.
 */
public final class EvidenceTable {

	private final Map<EvidenceKey, Stored> rows = new HashMap<>();

	private long sequence;

	/**
	 * Count a request.
	 * @param key what to count it under
	 * @param failed whether it failed
	 * @param slow whether it was slow
	 */
	public void count(EvidenceKey key, boolean failed, boolean slow) {
		Stored held = this.rows.get(key);
		store(key, ((held != null) ? held.tally : Tally.NONE).count(failed, slow));
	}

	/**
	 * Merge a row that a neighbour sent.
	 * @param row the row
	 * @return {@code true} if it was news
	 */
	public boolean merge(EvidenceRow row) {
		Stored held = this.rows.get(row.key());
		Tally merged = (held != null) ? held.tally.merge(row.tally()) : row.tally();
		if (held != null && merged.equals(held.tally)) {
			return false;
		}
		store(row.key(), merged);
		return true;
	}

	private void store(EvidenceKey key, Tally tally) {
		this.sequence++;
		this.rows.put(key, new Stored(tally, this.sequence));
	}

	/**
	 * Return rows that changed after a sequence number, oldest change first.
	 * @param afterSequence the sequence number
	 * @param maxRows the most rows to return
	 * @return the rows and the sequence number to go on from
	 */
	public Page changesAfter(long afterSequence, int maxRows) {
		List<Map.Entry<EvidenceKey, Stored>> changed = this.rows.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().sequence > afterSequence)
			.sorted(Comparator.comparingLong((entry) -> entry.getValue().sequence))
			.limit(maxRows)
			.toList();
		List<EvidenceRow> page = new ArrayList<>();
		changed.forEach((entry) -> page.add(new EvidenceRow(entry.getKey(), entry.getValue().tally)));
		long through = changed.isEmpty() ? afterSequence : changed.get(changed.size() - 1).getValue().sequence;
		return new Page(page, through);
	}

	/**
	 * Visit the evidence of a rollout.
	 * @param rollout the rollout
	 * @param visitor takes each row
	 */
	public void forEach(RolloutKey rollout, BiConsumer<EvidenceKey, Tally> visitor) {
		this.rows.forEach((key, stored) -> {
			if (key.rollout().equals(rollout)) {
				visitor.accept(key, stored.tally);
			}
		});
	}

	/**
	 * Forget the evidence of rollouts that the manifest no longer has.
	 * @param kept the rollouts to keep
	 */
	public void retain(Set<RolloutKey> kept) {
		this.rows.keySet().removeIf((key) -> !kept.contains(key.rollout()));
	}

	/**
	 * Return the number of rows.
	 * @return the number
	 */
	public int size() {
		return this.rows.size();
	}

	/**
	 * Rows that changed.
	 *
	 * @param rows the rows
	 * @param sequence the sequence number of the last one
	 */
	public record Page(List<EvidenceRow> rows, long sequence) {
	}

	private record Stored(Tally tally, long sequence) {
	}

}
