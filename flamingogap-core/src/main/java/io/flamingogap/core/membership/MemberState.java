package io.flamingogap.core.membership;

/**
 * Lifecycle state that an entry node announces for itself. A node only moves forward, in
 * the order of the constants.
 */
public enum MemberState {

	/** The node accepts new requests. */
	SERVING,
	/**
	 * Callers are no longer directed to the node; it still accepts requests that arrive.
	 */
	DRAINING,
	/** The node has handed its idempotency keys over to its successor. */
	HANDED_OVER,
	/** The node has stopped. */
	GONE

}
