package io.flamingogap.gateway.callers;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;

/**
 * Parses the requests of callers, and writes the headers of responses that depend on the
 * platform's protocol.
 */
public interface CallerProtocol {

	/**
	 * Parse a request.
	 * @param request the request as received; on success the result owns its body
	 * @return the request, or why it can't be parsed
	 */
	Either<String, CallerRequest> parseRequest(FullHttpRequest request);

	/**
	 * Set the header that says when a refused caller may retry.
	 * @param headers the headers of the response
	 * @param millis the delay before the retry, in milliseconds; not negative
	 */
	void writeRetryAfter(HttpHeaders headers, long millis);

}
