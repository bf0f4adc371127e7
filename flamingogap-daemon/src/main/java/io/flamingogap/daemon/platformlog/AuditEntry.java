package io.flamingogap.daemon.platformlog;

/**
 * Entry of the audit trail.
 *
 * @param atMillis the time of the action, in milliseconds since 1970 UTC
 * @param node the name of the entry node that recorded the entry
 * @param who the operator; the node itself for an automatic decision
 * @param what the action that was taken
 * @param subject the object of the action
 * @param cause the reason for the action, with the evidence
 * @param offset the offset in the configuration stream that the action is based on; 0 for
 * none
 */
public record AuditEntry(long atMillis, String node, String who, String what, String subject, String cause,
		long offset) {
}
