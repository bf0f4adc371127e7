package io.flamingogap.core.request;

import java.util.Objects;

/**
 * A complete HTTP response to a keyed request.
 *
 * @param status the HTTP status
 * @param contentType the value of the Content-Type header
 * @param body the body; not copied, so callers must not modify it
 */
public record Answer(int status, String contentType, byte[] body) {

	public Answer {
		Objects.requireNonNull(contentType, "contentType must not be null");
		Objects.requireNonNull(body, "body must not be null");
	}

	/**
	 * Return the size that counts towards {@link LedgerLimits#maxBytes()}.
	 * @return the length of the body in bytes
	 */
	public long sizeBytes() {
		return this.body.length;
	}

}
