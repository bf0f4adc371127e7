package io.flamingogap.gateway.http;

import java.util.Objects;

/**
 * The complete response to an HTTP call.
 *
 * @param status the HTTP status, which may be an error
 * @param body the body; empty if there is none
 */
public record HttpCallResponse(int status, byte[] body) {

	public HttpCallResponse {
		Objects.requireNonNull(body, "body must not be null");
	}

}
