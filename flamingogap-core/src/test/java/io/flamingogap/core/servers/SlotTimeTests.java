package io.flamingogap.core.servers;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link SlotTime}.
 */
class SlotTimeTests {

	private final SlotTime slotTime = new SlotTime();

	@Test
	void firstRequestsReplaceTheAssumption() {
		for (int i = 0; i < 5; i++) {
			this.slotTime.record(20);
		}
		assertThat(this.slotTime.millis(), closeTo(20, 30));
	}

	@Test
	void singleLongRequestChangesLittle() {
		for (int i = 0; i < 100; i++) {
			this.slotTime.record(20);
		}
		this.slotTime.record(100_000);
		assertThat(this.slotTime.millis(), lessThan(30.0));
	}

	@Test
	void lastingChangeIsFollowed() {
		for (int i = 0; i < 100; i++) {
			this.slotTime.record(20);
		}
		for (int i = 0; i < 300; i++) {
			this.slotTime.record(200);
		}
		assertThat(this.slotTime.millis(), closeTo(200, 10));
	}

}
