package io.flamingogap.core.servers;

/**
 * What the time to the first token shows about the shared prefix of a prompt.
 */
public enum CacheOutcome {

	/** The server had cached the prefix. */
	HIT,

	/** The server had to read the prefix. */
	MISS,

	/** The time doesn't tell. */
	UNCLEAR;

	/** Least share of the whole time that reading the prefix must take to be told. */
	private static final double MIN_SHARE = 0.3;

	/** Least time that reading the prefix must take to be told. */
	private static final double MIN_MILLIS = 10;

	/**
	 * Tell the outcome of a request that didn't have to wait for others. The time is that
	 * of a hit or of a miss, whichever is nearer; a time that exceeds that of a miss by
	 * as much again has another reason.
	 * @param choice the server, with the delay that was expected there
	 * @param sharedTokens the length of the prefix
	 * @param millisPerToken the time in which the server reads a token
	 * @param observedMillis the time from the dispatch to the first token
	 * @return the outcome
	 */
	public static CacheOutcome of(ServerChoice choice, long sharedTokens, double millisPerToken,
			double observedMillis) {
		double sharedMillis = sharedTokens * millisPerToken;
		double hitMillis = choice.delay().firstTokenMillis() - (sharedTokens - choice.cachedTokens()) * millisPerToken;
		double missMillis = hitMillis + sharedMillis;
		if (sharedMillis < MIN_MILLIS || sharedMillis < missMillis * MIN_SHARE
				|| observedMillis > missMillis + sharedMillis / 2) {
			return UNCLEAR;
		}
		return (observedMillis < hitMillis + sharedMillis / 2) ? HIT : MISS;
	}

}
