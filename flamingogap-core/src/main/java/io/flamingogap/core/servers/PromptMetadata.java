package io.flamingogap.core.servers;

import java.util.List;
import java.util.Objects;

/**
 * The size and the parts of a request's prompt.
 *
 * @param promptTokens the tokens that the engine reads
 * @param maxOutputTokens the most tokens that it generates
 * @param parts the parts in order; the last one belongs to the request or its session
 */
public record PromptMetadata(long promptTokens, long maxOutputTokens, List<PromptPart> parts) {

	/** A request without a prompt. */
	public static final PromptMetadata NONE = new PromptMetadata(0, 0, List.of());

	public PromptMetadata {
		Objects.requireNonNull(parts, "parts must not be null");
		parts = List.copyOf(parts);
	}

	/**
	 * Return the parts that other requests share.
	 * @return all parts but the last
	 */
	public List<PromptPart> sharedPrefix() {
		return (this.parts.size() > 1) ? this.parts.subList(0, this.parts.size() - 1) : List.of();
	}

	/**
	 * Return all tokens that the request is counted with.
	 * @return prompt and output tokens
	 */
	public long totalTokens() {
		return this.promptTokens + this.maxOutputTokens;
	}

}
