package io.flamingogap.core.servers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The parts of prompts that this node sent to a server lately, and that the server
 * therefore probably still holds.
 * <p>
 * Not safe for use by several threads.
 */
public final class RecentPrompts {

	/** Bounds the memory for each server; more parts than an engine keeps of one node. */
	private static final int MAX_PARTS = 256;

	private final Map<String, Boolean> parts = new LinkedHashMap<>(16, 0.75f, true) {
		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_PARTS;
		}
	};

	/**
	 * Record that the server read a prompt.
	 * @param prompt the prompt
	 */
	public void record(PromptMetadata prompt) {
		prompt.sharedPrefix().forEach((part) -> this.parts.put(part.id(), Boolean.TRUE));
	}

	/**
	 * Return the tokens that the server would probably not read again.
	 * @param prompt the prompt
	 * @return the tokens of the leading parts that it has read
	 */
	public long estimateCachedTokens(PromptMetadata prompt) {
		long held = 0;
		for (PromptPart part : prompt.sharedPrefix()) {
			if (!this.parts.containsKey(part.id())) {
				return held;
			}
			held += part.tokens();
		}
		return held;
	}

}
