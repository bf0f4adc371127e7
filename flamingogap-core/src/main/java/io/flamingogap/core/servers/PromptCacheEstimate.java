package io.flamingogap.core.servers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimate of a server's prompt cache: the shared prompt parts that this node sent to the
 * server most recently.
 * <p>
 * Not thread-safe.
 */
public final class PromptCacheEstimate {

	/**
	 * Maximum number of parts to remember for a server. An engine caches fewer parts from
	 * one node, so older ones can be dropped.
	 */
	private static final int MAX_PARTS = 256;

	private final Map<String, Boolean> parts = new LinkedHashMap<>(16, 0.75f, true) {
		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_PARTS;
		}
	};

	/**
	 * Record that a prompt was sent to the server.
	 * @param prompt the prompt, whose shared parts count as cached from now on
	 */
	public void record(PromptMetadata prompt) {
		prompt.sharedPrefix().forEach((part) -> this.parts.put(part.id(), Boolean.TRUE));
	}

	/**
	 * Estimate the tokens of a prompt that the server has cached.
	 * @param prompt the prompt to look up
	 * @return the tokens of the leading shared parts, up to the first that isn't cached
	 */
	public long estimateCachedTokens(PromptMetadata prompt) {
		long cached = 0;
		for (PromptPart part : prompt.sharedPrefix()) {
			if (!this.parts.containsKey(part.id())) {
				return cached;
			}
			cached += part.tokens();
		}
		return cached;
	}

}
