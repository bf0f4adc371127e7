package io.flamingogap.core.request;

import java.util.Objects;

/**
 * A whole answer to a request.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the body; not copied, so it must not be changed
 */
public record Answer(int status, String contentType, byte[] body) {

	public Answer {
		Objects.requireNonNull(contentType, "contentType must not be null");
		Objects.requireNonNull(body, "body must not be null");
	}

	/**
	 * Return the size counted against the limit of kept answers.
	 * @return the size in bytes
	 */
	public long sizeBytes() {
		return this.body.length;
	}

}
