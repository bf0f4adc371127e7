package io.flamingogap.gateway.callers;

/**
 * Takes the requests of callers.
 */
public interface CallerRequestHandler {

	/**
	 * Take a request.
	 * @param request the request
	 * @param exchange takes the answer
	 * @return the request while it is open
	 */
	OpenRequest accept(CallerRequest request, CallerExchange exchange);

	/**
	 * Return whether connections are kept after an answer.
	 * @return {@code false} during a planned stop
	 */
	boolean allowsKeepAlive();

}
