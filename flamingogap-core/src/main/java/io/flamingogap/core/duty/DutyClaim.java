package io.flamingogap.core.duty;

/**
 * A claim of the duties, as its record in the store describes it.
 *
 * @param holder the name of the node that claimed the duties
 * @param token the fencing token of the claim
 * @param timeline the number of the store's timeline in which the node claimed
 */
public record DutyClaim(String holder, long token, long timeline) {
}
