package io.flamingogap.gateway.http;

import java.util.Objects;

/**
 * The complete response to an HTTP call.
 *
 * @param status the HTTP status, which may be an error
 * @param body the body; empty if there is none
 */
public record HttpReply(int status, byte[] body) {

	public HttpReply {
		Objects.requireNonNull(body, "body must not be null");
	}

}
