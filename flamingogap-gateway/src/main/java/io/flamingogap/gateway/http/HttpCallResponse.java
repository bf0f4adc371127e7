package io.flamingogap.gateway.http;

import java.util.Objects;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The complete response to an HTTP call.
 *
 * @param status the HTTP status, which may be an error
 * @param headers the headers
 * @param body the body; empty if there is none
 */
public record HttpCallResponse(int status, HttpHeaders headers, byte[] body) {

	public HttpCallResponse {
		Objects.requireNonNull(headers, "headers must not be null");
		Objects.requireNonNull(body, "body must not be null");
	}

	/**
	 * Return the value of a header.
	 * @param name the name, in any case
	 * @return the first value; empty if there is none
	 */
	public Optional<String> header(CharSequence name) {
		return Optional.ofNullable(this.headers.get(name));
	}

	/**
	 * Return the type of the body.
	 * @return the value of the content type header; empty if there is none
	 */
	public Optional<String> contentType() {
		return header(HttpHeaderNames.CONTENT_TYPE);
	}

}
