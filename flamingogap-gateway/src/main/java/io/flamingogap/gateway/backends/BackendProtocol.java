package io.flamingogap.gateway.backends;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Encodes requests to backend servers and decodes the heads of their responses.
 */
public interface BackendProtocol {

	/**
	 * Encode a request as HTTP. The body is shared with the caller's request, not copied.
	 * @param request the request to encode
	 * @return the HTTP request
	 */
	FullHttpRequest encodeRequest(BackendRequest request);

	/**
	 * Decode the head of a response.
	 * @param attemptId the id of the attempt that was sent; a response that carries
	 * another id is an {@link BackendResponseHead.Verdict#ATTEMPT_MISMATCH}
	 * @param head the head as received
	 * @return the decoded head
	 */
	BackendResponseHead decodeResponseHead(String attemptId, HttpResponse head);

}
