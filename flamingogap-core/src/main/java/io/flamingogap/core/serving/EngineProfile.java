package io.flamingogap.core.serving;

/**
 * What the configuration tells of the model engines of a service.
 *
 * @param slots the requests that an engine runs at once
 * @param cacheTokens the tokens that its memory holds
 */
public record EngineProfile(int slots, long cacheTokens) {

	public EngineProfile {
		if (slots < 1) {
			throw new IllegalArgumentException("slots must be positive but was " + slots);
		}
	}

}
