package io.flamingogap.gateway.cloud;

/**
 * What callers ask of services, over all nodes.
 */
public interface FleetServiceDemand {

	/**
	 * Return the prompt tokens that arrive and that no engine holds yet.
	 * @param service the service
	 * @return tokens a second
	 */
	double promptTokensPerSecond(String service);

	/**
	 * Return the requests that are open.
	 * @param service the service
	 * @return the number
	 */
	double openRequests(String service);

}
