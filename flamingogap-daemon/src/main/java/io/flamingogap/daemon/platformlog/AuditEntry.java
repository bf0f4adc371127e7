package io.flamingogap.daemon.platformlog;

/**
 * One entry of the audit trail.
 *
 * @param atMillis when, in milliseconds since 1970 UTC
 * @param node the entry node that recorded it
 * @param who the operator, or the node itself for automatic decisions
 * @param what the action
 * @param subject what it was done to
 * @param cause why, with the evidence
 * @param offset the offset in the configuration stream that it rests on; 0 for none
 */
public record AuditEntry(long atMillis, String node, String who, String what, String subject, String cause,
		long offset) {
}
