package io.flamingogap.core.quota;

import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link HoldingStart}: which shares a node may spend when it starts again.
 */
class HoldingStartTests {

	@Test
	void nodeThatTheOthersStillKnowGoesOn() {
		assertThat(HoldingStart.afterRestart(OptionalLong.of(40), List.of(40L, 50L)), is(HoldingStart.RESTARTED));
	}

	@Test
	void nodeThatWasReplacedWaits() {
		assertThat(HoldingStart.afterRestart(OptionalLong.empty(), List.of(40L)), is(HoldingStart.TAKEN_OVER));
	}

	@Test
	void nodeThatNobodyCanHaveReplacedGoesOn() {
		assertThat(HoldingStart.afterRestart(OptionalLong.empty(), List.of()), is(HoldingStart.RESTARTED));
	}

	// The run before was still waiting for the previous holder to learn of it.
	@Test
	void nodeWhosePreviousRunMayHaveWaitedWaitsAgain() {
		assertThat(HoldingStart.afterRestart(OptionalLong.of(3), List.of(2L, 40L)), is(HoldingStart.TAKEN_OVER));
	}

	@Test
	void secondLossOfAllNodesDoesNotMakeThemWait() {
		assertThat(HoldingStart.afterRestart(OptionalLong.of(3), List.of(3L, 2L)), is(HoldingStart.RESTARTED));
	}

}
