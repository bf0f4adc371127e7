package io.flamingogap.gateway.http;

import java.util.Objects;

/**
 * A whole answer to a call.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record HttpReply(int status, byte[] body) {

	public HttpReply {
		Objects.requireNonNull(body, "body must not be null");
	}

}
