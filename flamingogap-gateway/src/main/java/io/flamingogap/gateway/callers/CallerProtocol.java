package io.flamingogap.gateway.callers;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;

/**
 * How callers spell what a request says.
 */
public interface CallerProtocol {

	/**
	 * Read a request.
	 * @param request the request as it came; the result takes over its body
	 * @return the request, or why it can't be read
	 */
	Either<String, CallerRequest> read(FullHttpRequest request);

	/**
	 * Write when a refused caller should come back.
	 * @param headers the headers of the refusal
	 * @param millis the time until then
	 */
	void writeRetryAfter(HttpHeaders headers, long millis);

}
