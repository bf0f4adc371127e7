package io.flamingogap.core.servers;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of when a server counts as cold.
 */
class ColdServersTests {

	private static final long COLD_MILLIS = 3_000;

	private final ColdServers coldServers = new ColdServers();

	private static ServerRegistration registration(long startedAtMillis, RemainingColdTime remaining) {
		return new ServerRegistration("first", "engine", Address.parse("10.0.0.1:80"), "z", "v1", 8, false, false,
				startedAtMillis, 1, remaining);
	}

	private boolean isColdAt(long nowMillis) {
		return this.coldServers.isCold("first", COLD_MILLIS, nowMillis);
	}

	@Test
	void serverIsColdForTheTimeItTold() {
		assertThat(this.coldServers.record(registration(1, RemainingColdTime.of(2_000)), false, 100), is(true));
		assertThat(isColdAt(2_099), is(true));
		assertThat(isColdAt(2_100), is(false));
	}

	@Test
	void laterRecordEndsAndBeginsTheColdTime() {
		this.coldServers.record(registration(1, RemainingColdTime.of(2_000)), false, 100);
		assertThat(this.coldServers.record(registration(1, RemainingColdTime.ZERO), false, 300), is(false));
		assertThat(isColdAt(300), is(false));
		assertThat(this.coldServers.record(registration(1, RemainingColdTime.of(500)), false, 9_000), is(true));
		assertThat(isColdAt(9_499), is(true));
	}

	@Test
	void serverThatTellsNothingIsColdIfItMayHaveStartedDuringTraffic() {
		assertThat(this.coldServers.record(registration(1, RemainingColdTime.NOT_TOLD), true, 100), is(true));
		assertThat(isColdAt(3_099), is(true));
		this.coldServers.record(registration(1, RemainingColdTime.NOT_TOLD), true, 3_000);
		assertThat(isColdAt(3_100), is(false));
	}

	@Test
	void serverThatTellsNothingIsNotColdAtTheFirstListing() {
		assertThat(this.coldServers.record(registration(1, RemainingColdTime.NOT_TOLD), false, 100), is(false));
		assertThat(isColdAt(100), is(false));
		assertThat(this.coldServers.record(registration(2, RemainingColdTime.NOT_TOLD), false, 200), is(true));
		assertThat(isColdAt(200), is(true));
	}

	@Test
	void leftServersAreForgotten() {
		this.coldServers.record(registration(1, RemainingColdTime.of(2_000)), false, 100);
		this.coldServers.retain((id) -> true);
		assertThat(isColdAt(100), is(true));
		this.coldServers.retain((id) -> false);
		assertThat(isColdAt(100), is(false));
	}

	static Stream<Object> oddValues() {
		return Stream.of(-1, -0.5001e3, 3_600_001, 1e300, Double.NaN, Double.POSITIVE_INFINITY, Long.MAX_VALUE,
				Long.MIN_VALUE, BigInteger.ONE.shiftLeft(4_000), new BigDecimal("1e99"), "2000", "x".repeat(5_000),
				true, List.of(1));
	}

	@ParameterizedTest
	@MethodSource("oddValues")
	void oddValueMakesTheServerColdOnceForTheConfiguredTime(Object value) {
		RemainingColdTime odd = RemainingColdTime.of(value);
		assertThat(odd.millis(), is(OptionalLong.empty()));
		assertThat(odd.unreadable().isEmpty(), is(false));
		assertThat(odd.unreadable().length() <= 40, is(true));
		this.coldServers.record(registration(1, odd), false, 100);
		this.coldServers.record(registration(1, odd), true, 2_000);
		assertThat(isColdAt(3_099), is(true));
		assertThat(isColdAt(3_100), is(false));
	}

	@Test
	void oddValueAfterAGoodOneMakesTheServerColdToo() {
		this.coldServers.record(registration(1, RemainingColdTime.ZERO), false, 100);
		assertThat(this.coldServers.record(registration(1, RemainingColdTime.of("soon")), true, 500), is(true));
		assertThat(isColdAt(3_499), is(true));
		this.coldServers.record(registration(1, RemainingColdTime.ZERO), true, 900);
		assertThat(isColdAt(900), is(false));
	}

	@Test
	void oddValueDoesNotShortenTheColdTime() {
		this.coldServers.record(registration(1, RemainingColdTime.of(9_000)), false, 100);
		this.coldServers.record(registration(1, RemainingColdTime.of(-1)), true, 500);
		assertThat(isColdAt(9_099), is(true));
	}

	@Test
	void fractionIsRoundedUp() {
		assertThat(RemainingColdTime.of(1.2).millis(), is(OptionalLong.of(2)));
		assertThat(RemainingColdTime.of(0.0).millis(), is(OptionalLong.of(0)));
	}

}
