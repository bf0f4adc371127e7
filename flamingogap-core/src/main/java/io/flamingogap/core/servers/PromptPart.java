package io.flamingogap.core.servers;

import java.util.Objects;

import io.flamingogap.core.text.Digests;

/**
 * A section of a prompt. Requests that begin with the same parts can share the engine's
 * prompt cache.
 *
 * @param id identifies the content; parts with the same id are the same text
 * @param tokens the length in tokens
 */
public record PromptPart(String id, long tokens) {

	private static final int MAX_KEY_LENGTH = 64;

	public PromptPart {
		Objects.requireNonNull(id, "id must not be null");
		if (tokens < 0) {
			throw new IllegalArgumentException("tokens must not be negative but was " + tokens);
		}
	}

	/**
	 * Return a text of limited length that identifies the content.
	 * @return the id, or a digest of it if it is long
	 */
	public String key() {
		return (this.id.length() <= MAX_KEY_LENGTH) ? this.id : Digests.sha256(this.id);
	}

}
