package io.flamingogap.core.limits;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link RequestBytes}.
 */
class RequestBytesTests {

	private final RequestBytes<String> account = new RequestBytes<>(100_000);

	@Test
	void nothingIsRefusedWithinTheLimit() {
		this.account.setArriving("first", 60_000, 0);
		this.account.setComplete("second", 40_000);
		assertThat(this.account.nextToRefuse(10_000), is(Optional.empty()));
		assertThat(this.account.totalBytes(), is(100_000L));
	}

	@Test
	void largestOfTheStalledRequestsIsRefusedFirst() {
		this.account.setArriving("small", 10_000, 0);
		this.account.setArriving("large", 20_000, 0);
		this.account.setArriving("moving", 80_000, 4_000);
		assertThat(this.account.nextToRefuse(4_500), is(Optional.of("large")));
	}

	@Test
	void newestIsRefusedIfAllAreMoving() {
		this.account.setArriving("older", 50_000, 0);
		this.account.setArriving("newer", 51_000, 0);
		this.account.setArriving("older", 50_500, 500);
		this.account.setArriving("newer", 51_500, 500);
		assertThat(this.account.nextToRefuse(600), is(Optional.of("newer")));
	}

	@Test
	void requestThatHoldsLessThanTheMeanIsNotRefused() {
		this.account.setArriving("older", 60_000, 0);
		this.account.setArriving("large", 60_000, 0);
		this.account.setArriving("short", 5_000, 0);
		assertThat(this.account.nextToRefuse(100), is(Optional.of("large")));
	}

	@Test
	void shortRequestsAreNotRefusedWhileOpenOnesUseUpTheLimit() {
		this.account.setComplete("open", 100_000);
		this.account.setArriving("short", 1_000, 0);
		assertThat(this.account.nextToRefuse(5_000), is(Optional.empty()));
		this.account.setArriving("long", 4_096, 5_000);
		assertThat(this.account.nextToRefuse(5_000), is(Optional.of("long")));
	}

	@Test
	void requestThatIsCompleteOrGoneHoldsNothing() {
		this.account.setArriving("first", 60_000, 0);
		this.account.setArriving("first", 0, 1);
		this.account.setComplete("first", 60_000);
		this.account.setComplete("first", 0);
		this.account.setArriving("second", 0, 1);
		assertThat(this.account.totalBytes(), is(0L));
	}

}
