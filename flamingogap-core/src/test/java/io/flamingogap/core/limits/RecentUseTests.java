package io.flamingogap.core.limits;

import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link RecentUse}.
 */
class RecentUseTests {

	private final RecentUse<String> use = new RecentUse<>(2);

	private Optional<String> nextToClose(String... serving) {
		return this.use.nextToClose(Set.of(serving)::contains);
	}

	@Test
	void nothingIsClosedWithinTheLimit() {
		this.use.use("first");
		this.use.use("second");
		this.use.use("first");
		assertThat(nextToClose(), is(Optional.empty()));
	}

	@Test
	void connectionThatWasNotUsedForTheLongestTimeIsClosed() {
		this.use.use("first");
		this.use.use("second");
		this.use.use("first");
		this.use.use("third");
		assertThat(nextToClose(), is(Optional.of("second")));
		this.use.remove("second");
		assertThat(nextToClose(), is(Optional.empty()));
	}

	@Test
	void connectionWhoseRequestIsBeingServedIsKept() {
		this.use.use("first");
		this.use.use("second");
		this.use.use("third");
		assertThat(nextToClose("first"), is(Optional.of("second")));
	}

	@Test
	void newestIsClosedIfAllAreServing() {
		this.use.use("first");
		this.use.use("second");
		this.use.use("third");
		assertThat(nextToClose("first", "second", "third"), is(Optional.of("third")));
	}

}
