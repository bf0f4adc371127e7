package io.flamingogap.gateway.cloud;

/**
 * The demand for services, summed over all entry nodes.
 */
public interface FleetServiceDemand {

	/**
	 * Return the rate of prompt tokens that arrive and aren't cached by any engine yet.
	 * @param service the name of the service
	 * @return tokens per second
	 */
	double promptTokensPerSecond(String service);

	/**
	 * Return the number of open requests.
	 * @param service the name of the service
	 * @return the number over all nodes
	 */
	double openRequests(String service);

}
