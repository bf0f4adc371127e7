package io.flamingogap.core.servers;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimate of a server's prompt cache: the shared prompt parts that this node sent to the
 * server, as far as the engine has memory for what was sent since. The engine evicts the
 * part that wasn't used for the longest time, so a part that turns out to be evicted
 * shows that all parts that were used before it are evicted, too.
 * <p>
 * Not thread-safe.
 */
public final class PromptCacheEstimate {

	/** The use of a prompt of which a shared part isn't believed to be cached. */
	public static final long NO_USE = -1;

	/** Maximum number of parts to remember for a server. */
	private static final int MAX_PARTS = 256;

	private final Map<String, Long> usesByPart = new LinkedHashMap<>(16, 0.75f, true) {
		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_PARTS;
		}
	};

	/** The tokens that this node sent, which tell how long ago a part was used. */
	private long sentTokens;

	private long memoryTokens = Long.MAX_VALUE;

	/**
	 * Set the memory of the engine.
	 * @param tokens the tokens that it holds; ignored unless positive
	 */
	public void setMemoryTokens(long tokens) {
		if (tokens > 0) {
			this.memoryTokens = tokens;
		}
	}

	/**
	 * Record that a prompt was sent to the server.
	 * @param prompt the prompt, whose shared parts count as cached from now on
	 * @return the use, to be passed to {@link #withdraw}
	 */
	public long record(PromptMetadata prompt) {
		this.sentTokens += Math.max(1, prompt.maxTotalTokens());
		prompt.sharedPrefix().forEach((part) -> this.usesByPart.put(part.id(), this.sentTokens));
		return this.sentTokens;
	}

	/**
	 * Record that the server didn't read a prompt that it was sent.
	 * @param use what {@link #record} returned
	 */
	public void withdraw(long use) {
		this.usesByPart.values().removeIf((partUse) -> partUse == use);
	}

	/**
	 * Record that the server had not cached a prompt that was believed to be cached.
	 * @param lastUse the last use of the prompt before it was sent this time
	 */
	public void recordMiss(long lastUse) {
		this.usesByPart.values().removeIf((partUse) -> partUse <= lastUse);
	}

	/**
	 * Return when the server last used the whole shared prefix of a prompt.
	 * @param prompt the prompt
	 * @return the use of the part that was used longest ago, or {@link #NO_USE}
	 */
	public long lastUse(PromptMetadata prompt) {
		long lastUse = Long.MAX_VALUE;
		long prefixTokens = 0;
		for (PromptPart part : prompt.sharedPrefix()) {
			prefixTokens += part.tokens();
			lastUse = Math.min(lastUse, useOf(part, prefixTokens));
		}
		return (lastUse == Long.MAX_VALUE) ? NO_USE : lastUse;
	}

	/**
	 * Estimate the tokens of a prompt that the server has cached.
	 * @param prompt the prompt to look up
	 * @return the tokens of the leading shared parts, up to the first that isn't cached
	 */
	public long estimateCachedTokens(PromptMetadata prompt) {
		long cached = 0;
		for (PromptPart part : prompt.sharedPrefix()) {
			if (useOf(part, cached + part.tokens()) == NO_USE) {
				return cached;
			}
			cached += part.tokens();
		}
		return cached;
	}

	private long useOf(PromptPart part, long prefixTokens) {
		Long use = this.usesByPart.get(part.id());
		return (use != null && this.sentTokens - use <= this.memoryTokens - prefixTokens) ? use : NO_USE;
	}

}
