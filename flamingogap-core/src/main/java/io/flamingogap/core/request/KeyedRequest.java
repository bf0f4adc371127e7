package io.flamingogap.core.request;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

import io.flamingogap.core.text.Digests;

/**
 * An unrepeatable request as its caller sent it.
 *
 * @param key the idempotency key
 * @param account the account that the caller belongs to
 * @param method the HTTP method
 * @param path the path with the query
 * @param contentType the media type of the body
 * @param body the body; not copied, so it must not be changed
 * @param deadlineMillis when the caller stops waiting, on the receiving node's clock
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
	 * Return a digest that tells this request from another one under the same key.
	 * @return the digest over method, path and body
	 */
	public String digest() {
		String head = this.method + "\n" + this.path + "\n" + Digests.sha256(this.body);
		return Digests.sha256(head.getBytes(StandardCharsets.UTF_8));
	}

}
