package io.flamingogap.gateway.cloud;

/**
 * The demand for services, summed over all entry nodes.
 */
public interface FleetServiceDemand {

	/**
	 * Return the rate of arriving prompt tokens. Leaves out the prefixes that requests
	 * share, because engines cache them.
	 * @param service the name of the service
	 * @return tokens per second
	 */
	double unsharedPromptTokensPerSecond(String service);

	/**
	 * Return the number of open requests.
	 * @param service the name of the service
	 * @return the number over all nodes
	 */
	double openRequests(String service);

}
