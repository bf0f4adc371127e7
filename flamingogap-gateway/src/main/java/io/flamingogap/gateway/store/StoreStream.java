package io.flamingogap.gateway.store;

/**
 * The streams of records that a node follows or appends to. Each keeps the newest record
 * of each key.
 */
public enum StoreStream {

	/** What operators ask for: the configuration, and rollouts. */
	OPERATOR,

	/** What operators are told of rollouts. */
	STATUS,

	/** The registrations of backend servers. */
	SERVERS,

	/** The reports of entry nodes. */
	NODES,

	/** What holders of the duties claim and intend. */
	DUTIES

}
