package io.flamingogap.core.servers;

import java.util.Objects;

/**
 * What a request asks of the server that is selected for it.
 *
 * @param prompt the prompt; {@link PromptMetadata#NONE} for requests without one
 * @param urgency the rank of the request; 0 is the most urgent
 * @param repeatable whether the request may be executed more than once
 */
public record RequestNeeds(PromptMetadata prompt, int urgency, boolean repeatable) {

	public RequestNeeds {
		Objects.requireNonNull(prompt, "prompt must not be null");
	}

	/**
	 * Return whether the request carries a prompt for a model engine.
	 * @return {@code false} for requests to plain services
	 */
	public boolean hasPrompt() {
		return this.prompt.promptTokens() > 0;
	}

	/**
	 * Return whether a server without a free slot is used only if no server has one: a
	 * plain server turns requests away when it is full, and one that can't be repeated
	 * may be lost with it.
	 * @return {@code true} for plain requests that may not be repeated
	 */
	boolean requiresSlot() {
		return !this.repeatable && !hasPrompt();
	}

}
