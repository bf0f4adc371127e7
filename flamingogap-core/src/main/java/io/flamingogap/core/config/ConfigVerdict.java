package io.flamingogap.core.config;

/**
 * The decision on one change of the configuration stream.
 *
 * @param offset the offset of the record
 * @param id the id of the change
 * @param operator the name of the operator who published the change
 * @param accepted whether the change is in force or was until a later one was accepted
 * @param reason the reason for a refusal, or "accepted"
 */
public record ConfigVerdict(long offset, String id, String operator, boolean accepted, String reason) {
}
