package io.flamingogap.core.duty;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Unit tests for {@link FencingTokens}.
 */
class FencingTokensTests {

	private static final long NOW_MILLIS = 1_796_625_430_684L;

	private final FencingTokens tokens = new FencingTokens();

	private static long firstToken(long timeline, long timeOfDayMillis) {
		return new FencingTokens().next(timeline, timeOfDayMillis).getAsLong();
	}

	// The store returned without the newest claim, and the next claim got its token
	// again.
	@Test
	void tokenOfALaterTimelineIsHigherThoughTheEarlierClaimIsLostAndTheClockIsBehind() {
		long lost = firstToken(4, NOW_MILLIS);
		assertThat(firstToken(5, NOW_MILLIS - 86_400_000L), greaterThan(lost));
	}

	@Test
	void timeOfDayKeepsTokensApartIfTimelinesHaveNoNumbers() {
		long lost = firstToken(0, NOW_MILLIS);
		assertThat(firstToken(0, NOW_MILLIS + 1), greaterThan(lost));
	}

	@Test
	void tokenIsHigherThanTheOneOfTheClaimBeforeWhoseClockWasAhead() {
		this.tokens.recordSeen(firstToken(4, NOW_MILLIS + 5_000));
		assertThat(this.tokens.next(4, NOW_MILLIS), is(OptionalLong.of(firstToken(4, NOW_MILLIS + 5_000) + 1)));
	}

	@Test
	void tokenIsHigherThanTheOnesThisNodeUsedWhenItsClockStepsBack() {
		long first = this.tokens.next(4, NOW_MILLIS).getAsLong();
		assertThat(this.tokens.next(4, NOW_MILLIS - 60_000).getAsLong(), greaterThan(first));
	}

	@ParameterizedTest
	@CsvSource({ "0, 0", "-1, -1", "1048575, 4398046511103", "1048576, 4398046511104",
			"9223372036854775807, 9223372036854775807", "-9223372036854775808, -9223372036854775808" })
	void tokensRiseAndStayPositiveForAnyInput(long timeline, long timeOfDayMillis) {
		long first = this.tokens.next(timeline, timeOfDayMillis).getAsLong();
		assertThat(first, greaterThan(0L));
		assertThat(this.tokens.next(timeline, timeOfDayMillis).getAsLong(), greaterThan(first));
		assertThat(this.tokens.next(4, NOW_MILLIS).getAsLong(), greaterThan(first));
	}

	// Otherwise an earlier holder's claim lowers the token of the next one.
	@Test
	void tokenIsHigherThanTheOnesThisNodeUsedThoughItHasSeenALowerOneSince() {
		long first = this.tokens.next(4, NOW_MILLIS).getAsLong();
		this.tokens.recordSeen(firstToken(3, NOW_MILLIS));
		assertThat(this.tokens.next(4, NOW_MILLIS - 60_000).getAsLong(), greaterThan(first));
	}

	// Otherwise the number of a timeline that does not fit reaches the sign of the token.
	@ParameterizedTest
	@ValueSource(longs = { 1L << 20, 1L << 21, 1L << 22, Long.MAX_VALUE })
	void timelineThatDoesNotFitCountsAsTheHighestOne(long timeline) {
		assertThat(firstToken(timeline, NOW_MILLIS), is(firstToken((1L << 20) - 1, NOW_MILLIS)));
	}

	@Test
	void noTokenFollowsTheHighestOne() {
		this.tokens.recordSeen(Long.MAX_VALUE - 1);
		assertThat(this.tokens.next(4, NOW_MILLIS), is(OptionalLong.of(Long.MAX_VALUE)));
		assertThat(this.tokens.next(5, NOW_MILLIS), is(OptionalLong.empty()));
	}

}
