package io.flamingogap.core.servers;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

/**
 * Tests of {@link PromptSpeed}.
 */
class PromptSpeedTests {

	/**
	 * Record prompts of 300 to 6,000 tokens, with 8 to 20 ms for the network and the
	 * first step.
	 * @param speed receives the observations
	 * @param tokensPerMilli the speed of the engine
	 * @param nowMillis the time of the last observation
	 */
	static void observe(PromptSpeed speed, double tokensPerMilli, long nowMillis) {
		SplittableRandom random = new SplittableRandom(20261204);
		for (int i = 400; i > 0; i--) {
			long tokens = 300 + random.nextInt(5_700);
			speed.record(tokens, Math.round(8 + random.nextInt(12) + tokens / tokensPerMilli), nowMillis - i * 50L);
		}
	}

	@ParameterizedTest
	@ValueSource(doubles = { 15, 60, 240 })
	void enginesThatDifferByFourTimesAreLearned(double tokensPerMilli) {
		PromptSpeed speed = new PromptSpeed();
		observe(speed, tokensPerMilli, 100_000);
		assertThat(speed.tokensPerMilli(100_000), closeTo(tokensPerMilli, tokensPerMilli * 0.2));
	}

	@Test
	void assumedSpeedAppliesWithoutObservationsAndLongAfterThem() {
		PromptSpeed speed = new PromptSpeed();
		assertThat(speed.tokensPerMilli(0), closeTo(60, 0.1));
		observe(speed, 15, 100_000);
		assertThat(speed.tokensPerMilli(400_000), closeTo(60, 1));
	}

	@Test
	void fewObservationsChangeLittle() {
		PromptSpeed speed = new PromptSpeed();
		speed.record(500, 400, 0);
		assertThat(speed.tokensPerMilli(0), closeTo(60, 30));
	}

}
