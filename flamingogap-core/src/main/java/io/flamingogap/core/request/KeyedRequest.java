package io.flamingogap.core.request;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import io.flamingogap.core.text.Digests;

/**
 * A request that must be executed at most once, as received from its caller.
 *
 * @param key the idempotency key
 * @param account the name of the client account that the caller belongs to
 * @param method the HTTP method
 * @param path the path including the query
 * @param contentType the media type of the body
 * @param body the body; not copied, so callers must not modify it
 * @param deadlineMillis the time at which the caller stops waiting, in milliseconds on
 * the receiving node's clock
 */
public record KeyedRequest(RequestKey key, String account, String method, String path, String contentType, byte[] body,
		long deadlineMillis) {

	public KeyedRequest {
		Objects.requireNonNull(key, "key must not be null");
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(path, "path must not be null");
		Objects.requireNonNull(contentType, "contentType must not be null");
		Objects.requireNonNull(body, "body must not be null");
	}

	/**
	 * Return a digest that distinguishes this request from a different one with the same
	 * key.
	 * @return the SHA-256 digest over method, path and body in hexadecimal digits
	 */
	public String digest() {
		String head = this.method + "\n" + this.path + "\n" + Digests.sha256(this.body);
		return Digests.sha256(head.getBytes(StandardCharsets.UTF_8));
	}

}
