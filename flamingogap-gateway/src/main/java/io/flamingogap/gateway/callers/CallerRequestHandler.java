package io.flamingogap.gateway.callers;

/**
 * Handles the requests that callers send.
 */
public interface CallerRequestHandler {

	/**
	 * Handle a request.
	 * @param request the request, which the handler owns from now on
	 * @param exchange sends the response
	 * @return receives the events of the caller's connection while the request is open
	 */
	CallerConnectionListener handle(CallerRequest request, CallerExchange exchange);

	/**
	 * Return whether connections may stay open after a response.
	 * @return {@code false} while the node shuts down
	 */
	boolean allowsKeepAlive();

}
