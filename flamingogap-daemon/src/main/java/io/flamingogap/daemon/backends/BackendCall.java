package io.flamingogap.daemon.backends;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * A call to a plain service.
 *
 * @param method the HTTP method
 * @param path the path below the service's prefix, with the query
 * @param contentType the media type of the body
 * @param body the body
 * @param account the account that the call is for
 * @param idempotencyKey the key of an unrepeatable call
 * @param remainingMillis how long the caller still waits
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

}
