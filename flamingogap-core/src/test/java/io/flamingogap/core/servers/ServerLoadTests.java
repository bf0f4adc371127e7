package io.flamingogap.core.servers;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link ServerLoad}.
 */
class ServerLoadTests {

	private static final double SLOT_MILLIS = 80;

	private final ServerLoad load = new ServerLoad();

	@Test
	void refusalByAFullServerIsBelievedAtOnce() {
		this.load.recordFull(6, SLOT_MILLIS, 1_000);
		assertThat(this.load.estimateOpenRequests(1_000), greaterThanOrEqualTo(6.0));
	}

	@Test
	void refusalIsForgottenAfterTheTimeOfAFewRequests() {
		this.load.recordFull(6, SLOT_MILLIS, 1_000);
		assertThat(this.load.estimateOpenRequests(1_400), lessThan(2.0));
	}

	@Test
	void reportIsBelievedAtOnceInBothDirections() {
		this.load.recordReport(6, 2, SLOT_MILLIS, 1_000);
		assertThat(this.load.estimateOpenRequests(1_000), closeTo(8, 0.01));
		this.load.recordReport(1, 0, SLOT_MILLIS, 1_010);
		assertThat(this.load.estimateOpenRequests(1_010), closeTo(1, 0.01));
	}

	// Other nodes keep sending requests, so a server doesn't become idle as its report
	// ages.
	@Test
	void oldReportYieldsToTheAverageOfTheReports() {
		for (int i = 0; i < 100; i++) {
			this.load.recordReport(4, 0, SLOT_MILLIS, 1_000 + i * 50L);
		}
		assertThat(this.load.estimateOpenRequests(6_250), greaterThan(3.0));
		assertThat(this.load.estimateOpenRequests(30_000), lessThan(0.1));
	}

	@Test
	void ownRequestsAreNotCountedTwice() {
		this.load.recordSent(0);
		this.load.recordSent(0);
		this.load.recordReport(5, 0, SLOT_MILLIS, 1_000);
		assertThat(this.load.estimateOpenRequests(1_000), closeTo(5, 0.01));
	}

}
