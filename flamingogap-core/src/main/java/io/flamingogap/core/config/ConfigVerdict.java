package io.flamingogap.core.config;

/**
 * What became of one record of the configuration stream.
 *
 * @param offset the record's offset
 * @param id the id of the change
 * @param operator who published it
 * @param accepted whether it is in force or was until a later one
 * @param reason why it was refused, or "accepted"
 */
public record ConfigVerdict(long offset, String id, String operator, boolean accepted, String reason) {
}
