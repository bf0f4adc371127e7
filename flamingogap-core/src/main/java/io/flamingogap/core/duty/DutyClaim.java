package io.flamingogap.core.duty;

import java.util.OptionalLong;

/**
 * A claim of the duties, as its record in the store describes it.
 *
 * @param holder the name of the node that claimed the duties
 * @param token the fencing token of the claim
 * @param timeline the number of the store's timeline in which the node claimed
 * @param settledWindow the newest usage window that no later holder may count or report:
 * it and the ones before it are reported or left out; empty if unknown
 */
public record DutyClaim(String holder, long token, long timeline, OptionalLong settledWindow) {
}
