package io.flamingogap.core.rollout;

/**
 * A row of evidence as nodes exchange it.
 *
 * @param key what it counts
 * @param tally the counts so far
 */
public record EvidenceRow(EvidenceKey key, Tally tally) {
}
