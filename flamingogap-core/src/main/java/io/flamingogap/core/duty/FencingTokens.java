package io.flamingogap.core.duty;

import java.util.OptionalLong;

/**
 * Gives this node's claims their fencing tokens. A token is higher than every token that
 * this node has used or seen, and its high bits are the number of the store's timeline.
 * So tokens rise even if the store returns from a copy that lost the newest claims and
 * every node that knew them is gone.
 * <p>
 * Within a timeline, each claim sees the one before it. The time of day keeps tokens
 * apart where the store doesn't number its timelines, if the clocks of the nodes differ
 * by less than the time between two claims.
 * <p>
 * Not thread-safe.
 */
public final class FencingTokens {

	/** The time of day in milliseconds fits into these bits until the year 2109. */
	private static final int TIME_BITS = 42;

	private static final long MAX_TIME_MILLIS = (1L << TIME_BITS) - 1;

	/**
	 * Keeps tokens that are made of the clock in the lower half of the positive range.
	 */
	private static final long MAX_TIMELINE = (1L << 20) - 1;

	private long highestToken;

	/**
	 * Record a token that another claim uses.
	 * @param token the token
	 */
	public void recordSeen(long token) {
		this.highestToken = Math.max(this.highestToken, token);
	}

	/**
	 * Return the token for a new claim.
	 * @param timeline the number of the store's timeline; numbers beyond 20 bits count as
	 * the highest of them
	 * @param timeOfDayMillis the corrected time of day, in milliseconds since 1970 UTC
	 * @return a positive token that this node has not used or seen before; empty if no
	 * higher one is left
	 */
	public OptionalLong next(long timeline, long timeOfDayMillis) {
		if (this.highestToken == Long.MAX_VALUE) {
			return OptionalLong.empty();
		}
		long clockToken = (Math.min(Math.max(timeline, 0), MAX_TIMELINE) << TIME_BITS)
				| Math.min(Math.max(timeOfDayMillis, 0), MAX_TIME_MILLIS);
		this.highestToken = Math.max(clockToken, this.highestToken + 1);
		return OptionalLong.of(this.highestToken);
	}

}
