package io.flamingogap.core.quota;

/**
 * What the other entry nodes report of their callers' demand.
 */
public interface FleetDemand {

	/**
	 * Return the number of entry nodes.
	 * @return the nodes that are heard of, this one included
	 */
	int nodes();

	/**
	 * Return the demand at other nodes.
	 * @param account the name of the account
	 * @return units a second
	 */
	double otherNodesUnitsPerSecond(String account);

}
