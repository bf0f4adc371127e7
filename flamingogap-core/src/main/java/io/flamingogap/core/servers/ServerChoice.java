package io.flamingogap.core.servers;

import java.util.Objects;

/**
 * Server that was selected for a request.
 *
 * @param server the server
 * @param delay the delay that is expected there
 * @param cachedTokens the tokens of the prompt that the server is believed to have cached
 * @param placementRank the rank of the server for the prompt's shared prefix, as in
 * {@link PlacementTrust}; negative for servers that aren't preferred
 */
public record ServerChoice(KnownServer server, ExpectedDelay delay, double cachedTokens, int placementRank) {

	public ServerChoice {
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(delay, "delay must not be null");
	}

	/**
	 * Return the delay by which the server was selected.
	 * @return the delay in milliseconds
	 */
	public double expectedDelayMillis() {
		return this.delay.costMillis();
	}

}
