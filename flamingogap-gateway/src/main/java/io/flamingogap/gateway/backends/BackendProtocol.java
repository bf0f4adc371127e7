package io.flamingogap.gateway.backends;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * How backend servers spell what requests and answers say.
 */
public interface BackendProtocol {

	/**
	 * Write a dispatch as a request. The body is shared, not copied.
	 * @param dispatch the dispatch
	 * @return the request
	 */
	FullHttpRequest encodeRequest(BackendRequest dispatch);

	/**
	 * Read the head of an answer.
	 * @param attemptId the attempt that the answer should be for
	 * @param head the head
	 * @return what it says
	 */
	BackendResponseHead decodeResponseHead(String attemptId, HttpResponse head);

}
