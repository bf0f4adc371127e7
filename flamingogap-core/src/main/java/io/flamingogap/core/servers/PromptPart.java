package io.flamingogap.core.servers;

import java.util.Objects;

/**
 * A part of a prompt. Requests that begin with the same parts can share the engine's
 * cache of them.
 *
 * @param id identifies the part's content
 * @param tokens its length
 */
public record PromptPart(String id, long tokens) {

	public PromptPart {
		Objects.requireNonNull(id, "id must not be null");
		if (tokens < 0) {
			throw new IllegalArgumentException("tokens must not be negative but was " + tokens);
		}
	}

}
