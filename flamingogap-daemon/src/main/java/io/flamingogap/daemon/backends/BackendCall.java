package io.flamingogap.daemon.backends;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * A request to a backend server of a plain service.
 *
 * @param method the HTTP method
 * @param path the path below the service's prefix, including the query
 * @param contentType the media type of the body
 * @param body the body; may be empty
 * @param account the account of the caller
 * @param idempotencyKey the key of an unrepeatable call, or {@code null} for a repeatable
 * call
 * @param remainingMillis the time until the caller's deadline
 */
public record BackendCall(String method, String path, String contentType, byte[] body, String account,
		@Nullable String idempotencyKey, long remainingMillis) {

	public BackendCall {
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(path, "path must not be null");
		Objects.requireNonNull(contentType, "contentType must not be null");
		Objects.requireNonNull(body, "body must not be null");
		Objects.requireNonNull(account, "account must not be null");
	}

	/**
	 * Return the headers that each call has, with or without a body.
	 * @return a new map of values by name
	 */
	Map<String, String> headers() {
		Map<String, String> headers = new HashMap<>();
		headers.put("X-Account", this.account);
		headers.put("X-Deadline-Millis", String.valueOf(this.remainingMillis));
		if (this.idempotencyKey != null) {
			headers.put("Idempotency-Key", this.idempotencyKey);
		}
		return headers;
	}

}
