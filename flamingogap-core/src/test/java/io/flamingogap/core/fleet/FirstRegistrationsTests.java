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
		assertThat(this.registrations.update(30, 2_900), is(false));
		assertThat(this.registrations.update(78, 5_800), is(false));
		assertThat(this.registrations.update(78, 8_799), is(false));
		assertThat(this.registrations.update(78, 8_800), is(true));
	}

	@Test
	void staysCompleteWhenServersAreAddedOrLeave() {
		this.registrations.update(78, 0);
		this.registrations.update(78, 3_000);
		assertThat(this.registrations.update(90, 3_100), is(true));
		assertThat(this.registrations.update(2, 3_200), is(true));
	}

	@Test
	void serviceWithoutServersIsCompleteToo() {
		assertThat(this.registrations.update(0, 0), is(false));
		assertThat(this.registrations.update(0, 3_000), is(true));
	}

}
