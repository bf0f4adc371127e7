package io.flamingogap.core.servers;

import java.util.Objects;

/**
 * A section of a prompt. Requests that begin with the same parts can share the engine's
 * prompt cache.
 *
 * @param id identifies the content; parts with the same id are the same text
 * @param tokens the length in tokens
 */
public record PromptPart(String id, long tokens) {

	public PromptPart {
		Objects.requireNonNull(id, "id must not be null");
		if (tokens < 0) {
			throw new IllegalArgumentException("tokens must not be negative but was " + tokens);
		}
	}

}
