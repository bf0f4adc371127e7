package io.flamingogap.core.serving;

/**
 * Capacity of each model engine of a service.
 *
 * @param slots the number of requests that one engine runs concurrently
 * @param cacheTokens the number of tokens that the memory of one engine holds
 */
public record EngineProfile(int slots, long cacheTokens) {

	public EngineProfile {
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive but was " + slots);
		}
	}

}
