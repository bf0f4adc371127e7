package io.flamingogap.core.rollout;

/**
 * Row of evidence as nodes exchange it.
 *
 * @param key which requests it counts
 * @param tally the counts so far, which only grow
 */
public record EvidenceRow(EvidenceKey key, Tally tally) {
}
