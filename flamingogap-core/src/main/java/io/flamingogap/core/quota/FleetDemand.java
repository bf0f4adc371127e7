package io.flamingogap.core.quota;

/**
 * Demand that the other entry nodes report, by account.
 */
public interface FleetDemand {

	/**
	 * Return the number of entry nodes that share the quotas.
	 * @return the number of known nodes, including this one
	 */
	int nodes();

	/**
	 * Return the demand of an account's callers at the other nodes.
	 * @param account the name of the account
	 * @return the units per second; 0 if no node reports any
	 */
	double otherNodesUnitsPerSecond(String account);

}
