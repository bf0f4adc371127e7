package io.flamingogap.core.fleet;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link FirstRegistrations}.
 */
class FirstRegistrationsTests {

	private final FirstRegistrations registrations = new FirstRegistrations();

	@Test
	void isCompleteWhenNoServerWasAddedForAWhile() {
		assertThat(this.registrations.update(1, 0), is(false));
		assertThat(this.registrations.update(30, 2_100), is(false));
		assertThat(this.registrations.update(78, 4_200), is(false));
		assertThat(this.registrations.update(78, 6_399), is(false));
		assertThat(this.registrations.update(78, 6_400), is(true));
	}

	@Test
	void staysCompleteWhenServersAreAddedOrLeave() {
		this.registrations.update(78, 0);
		this.registrations.update(78, 2_200);
		assertThat(this.registrations.update(90, 2_300), is(true));
		assertThat(this.registrations.update(2, 2_400), is(true));
	}

	@Test
	void serviceWithoutServersIsCompleteToo() {
		assertThat(this.registrations.update(0, 0), is(false));
		assertThat(this.registrations.update(0, 2_200), is(true));
	}

}
