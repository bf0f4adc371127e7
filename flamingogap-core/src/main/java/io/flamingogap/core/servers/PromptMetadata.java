package io.flamingogap.core.servers;

import java.util.List;
import java.util.Objects;

/**
 * Token counts and parts of a request's prompt.
 *
 * @param promptTokens the tokens that the engine reads if none are cached
 * @param maxOutputTokens the maximum number of tokens that the engine generates
 * @param parts the parts in order; the last one is specific to the request or its session
 */
public record PromptMetadata(long promptTokens, long maxOutputTokens, List<PromptPart> parts) {

	/** Metadata of a request without a prompt. */
	public static final PromptMetadata NONE = new PromptMetadata(0, 0, List.of());

	public PromptMetadata {
		Objects.requireNonNull(parts, "parts must not be null");
		parts = List.copyOf(parts);
	}

	/**
	 * Return the leading parts, which other requests may share.
	 * @return all parts but the last
	 */
	public List<PromptPart> sharedPrefix() {
		return (this.parts.size() > 1) ? this.parts.subList(0, this.parts.size() - 1) : List.of();
	}

	/**
	 * Return the length of the parts that other requests may share.
	 * @return the tokens of all parts but the last
	 */
	public long sharedTokens() {
		return sharedPrefix().stream().mapToLong(PromptPart::tokens).sum();
	}

	/**
	 * Return the maximum number of tokens that the request uses. The quota of its account
	 * is charged with this number.
	 * @return the prompt tokens plus the maximum number of output tokens
	 */
	public long maxTotalTokens() {
		return this.promptTokens + this.maxOutputTokens;
	}

}
