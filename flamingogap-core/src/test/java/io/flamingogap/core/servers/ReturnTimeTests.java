package io.flamingogap.core.servers;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link ReturnTime}.
 */
class ReturnTimeTests {

	private static final long NOW_MILLIS = 10_000;

	private final ServerTable table = new ServerTable();

	private ServerRegistration register(String id, boolean draining) {
		ServerRegistration registration = new ServerRegistration(id, "engine", Address.parse("10.0.0.1:80"), "z", "v1",
				8, draining, false, 1, 1);
		this.table.register(registration, this.table.size() + 1L);
		return registration;
	}

	private long delayMillis(double random) {
		return ReturnTime.whenNoServer(this.table.ofService("engine"), random, NOW_MILLIS);
	}

	@Test
	void callersComeBackAtDifferentTimes() {
		register("a", false);
		assertThat(delayMillis(0), lessThan(delayMillis(0.5)));
		assertThat(delayMillis(0.5), lessThan(delayMillis(1)));
		assertThat(delayMillis(1), lessThanOrEqualTo(400L));
	}

	// Callers were told to come back while every server still wanted nothing.
	@Test
	void callersComeBackAfterTheFirstPauseIfAllServersPause() {
		this.table.pause(register("a", false), 8_000, NOW_MILLIS);
		this.table.pause(register("b", false), 5_000, NOW_MILLIS);
		register("c", true);
		assertThat(delayMillis(0), allOf(greaterThanOrEqualTo(5_000L), lessThan(6_000L)));
		assertThat(delayMillis(1), allOf(greaterThanOrEqualTo(5_000L), lessThan(6_000L)));
	}

	@Test
	void aServerWithoutAPauseMayHaveAPlaceAtAnyTime() {
		this.table.pause(register("a", false), 8_000, NOW_MILLIS);
		register("b", false);
		assertThat(delayMillis(0.5), lessThanOrEqualTo(400L));
	}

	@Test
	void withoutServersCallersComeBackSoon() {
		assertThat(delayMillis(0.5), lessThanOrEqualTo(400L));
	}

}
