package io.flamingogap.gateway.http;

import java.util.Objects;
import java.util.Optional;

/**
 * The complete response to an HTTP call.
 *
 * @param status the HTTP status, which may be an error
 * @param contentType the value of the content type header; empty if there is none
 * @param body the body; empty if there is none
 */
public record HttpCallResponse(int status, Optional<String> contentType, byte[] body) {

	public HttpCallResponse {
		Objects.requireNonNull(contentType, "contentType must not be null");
		Objects.requireNonNull(body, "body must not be null");
	}

}
