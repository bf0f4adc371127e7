package io.flamingogap.gateway.store;

/**
 * The record streams that nodes read or append to. Each stream keeps the newest record of
 * every key.
 */
public enum StoreStream {

	/** Requests of operators: configurations and rollout orders. */
	OPERATOR,

	/** The progress of rollouts, for operators. */
	STATUS,

	/** The registrations of backend servers. */
	SERVERS,

	/** The periodic reports of entry nodes. */
	NODES,

	/**
	 * Claims of the duties, and usage reports that the holder of the duties stores before
	 * it sends them.
	 */
	DUTIES

}
