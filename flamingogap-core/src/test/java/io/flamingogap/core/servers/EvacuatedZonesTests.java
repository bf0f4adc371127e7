package io.flamingogap.core.servers;

import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link EvacuatedZones}.
 */
class EvacuatedZonesTests {

	private final EvacuatedZones zones = new EvacuatedZones(Set.of("z1", "z2"));

	@Test
	void unknownZoneIsNotEvacuated() {
		assertThat(this.zones.apply("nowhere", true, 1), is(EvacuatedZones.Outcome.UNKNOWN_ZONE));
		assertThat(this.zones.zones(), is(Set.of()));
	}

	@Test
	void repeatedOrderChangesNothing() {
		assertThat(this.zones.apply("z1", true, 1), is(EvacuatedZones.Outcome.CHANGED));
		assertThat(this.zones.apply("z1", true, 1), is(EvacuatedZones.Outcome.OUTDATED));
		assertThat(this.zones.apply("z1", true, 5), is(EvacuatedZones.Outcome.UNCHANGED));
		assertThat(this.zones.apply("z1", false, 3), is(EvacuatedZones.Outcome.OUTDATED));
		assertThat(this.zones.zones(), is(Set.of("z1")));
	}

	@Test
	void listingFromBeforeTheOrderDoesNotTakeItBack() {
		this.zones.apply("z1", true, 7);
		assertThat(this.zones.retain(Set.of(), 7), is(Set.of()));
		assertThat(this.zones.contains("z1"), is(true));
		assertThat(this.zones.retain(Set.of(), 8), is(Set.of()));
		assertThat(this.zones.contains("z1"), is(true));
		assertThat(this.zones.retain(Set.of(), 9), is(Set.of("z1")));
		assertThat(this.zones.contains("z1"), is(false));
	}

	@Nested
	class Returns {

		private static final long HELD_UNTIL_MILLIS = 10_000;

		private final EvacuatedZones zones = EvacuatedZonesTests.this.zones;

		// An evacuation that was written again at a lower offset was ignored, as was the
		// order that took it back.
		@Test
		void ordersCountWhenTheyAreWrittenAgainAtALowerOffset() {
			this.zones.apply("z1", true, 50);
			this.zones.forgetOffsets(HELD_UNTIL_MILLIS);
			this.zones.retain(Set.of(), 40);
			this.zones.apply("z1", true, 40);
			assertThat(this.zones.apply("z1", false, 41), is(EvacuatedZones.Outcome.CHANGED));
			assertThat(this.zones.apply("z2", true, 42), is(EvacuatedZones.Outcome.CHANGED));
			assertThat(this.zones.zones(), is(Set.of("z2")));
		}

		// Servers of an evacuated zone got requests while the operator's lost order was
		// being written again.
		@Test
		void evacuationThatTheCopyLacksStaysInForceUntilItIsWrittenAgain() {
			this.zones.apply("z1", true, 50);
			this.zones.forgetOffsets(HELD_UNTIL_MILLIS);
			assertThat(this.zones.retain(Set.of(), 40), is(Set.of()));
			assertThat(this.zones.retain(Set.of(), 60), is(Set.of()));
			assertThat(this.zones.contains("z1"), is(true));
			this.zones.apply("z1", true, 61);
			assertThat(this.zones.applyHeld(HELD_UNTIL_MILLIS), is(Set.of()));
			assertThat(this.zones.contains("z1"), is(true));
		}

		@Test
		void evacuationThatIsNotWrittenAgainIsTakenBackAfterTheTime() {
			this.zones.apply("z1", true, 50);
			this.zones.forgetOffsets(HELD_UNTIL_MILLIS);
			this.zones.retain(Set.of(), 40);
			assertThat(this.zones.applyHeld(HELD_UNTIL_MILLIS - 1), is(Set.of()));
			assertThat(this.zones.applyHeld(HELD_UNTIL_MILLIS), is(Set.of("z1")));
			assertThat(this.zones.contains("z1"), is(false));
		}

		@Test
		void evacuationThatWasTakenBackDoesNotComeIntoForceFromTheCopy() {
			this.zones.apply("z1", true, 30);
			this.zones.apply("z1", false, 50);
			this.zones.forgetOffsets(HELD_UNTIL_MILLIS);
			assertThat(this.zones.apply("z1", true, 30), is(EvacuatedZones.Outcome.HELD));
			this.zones.retain(Set.of("z1"), 40);
			assertThat(this.zones.contains("z1"), is(false));
			this.zones.apply("z1", false, 40);
			assertThat(this.zones.applyHeld(HELD_UNTIL_MILLIS), is(Set.of()));
			assertThat(this.zones.contains("z1"), is(false));
		}

		// Otherwise a later order of the copy is held against an earlier one of it.
		@Test
		void laterOrderOfTheCopyCountsAtOnceBehindTheKnownOne() {
			this.zones.apply("z1", true, 50);
			this.zones.forgetOffsets(HELD_UNTIL_MILLIS);
			assertThat(this.zones.apply("z1", true, 30), is(EvacuatedZones.Outcome.UNCHANGED));
			assertThat(this.zones.apply("z1", false, 35), is(EvacuatedZones.Outcome.CHANGED));
		}

		// Otherwise an evacuation is taken back at once if the copy is listed late.
		@Test
		void orderIsHeldThoughTheTimeHasPassedBeforeTheCopyWasListed() {
			this.zones.apply("z1", true, 50);
			this.zones.forgetOffsets(HELD_UNTIL_MILLIS);
			assertThat(this.zones.applyHeld(HELD_UNTIL_MILLIS), is(Set.of()));
			assertThat(this.zones.retain(Set.of(), 40), is(Set.of()));
			assertThat(this.zones.contains("z1"), is(true));
		}

		// Otherwise a second listing makes orders count as old that are of after the
		// return.
		@Test
		void orderBehindTheFirstListingCountsAtOnceAfterASecondOne() {
			this.zones.apply("z1", true, 50);
			this.zones.forgetOffsets(HELD_UNTIL_MILLIS);
			this.zones.retain(Set.of(), 40);
			this.zones.retain(Set.of(), 60);
			assertThat(this.zones.apply("z1", false, 45), is(EvacuatedZones.Outcome.CHANGED));
		}

		@Test
		void evacuationThatOnlyTheCopyHasComesIntoForceAtOnce() {
			this.zones.retain(Set.of(), 20);
			this.zones.forgetOffsets(HELD_UNTIL_MILLIS);
			assertThat(this.zones.apply("z1", true, 10), is(EvacuatedZones.Outcome.CHANGED));
			this.zones.retain(Set.of("z1"), 12);
			assertThat(this.zones.contains("z1"), is(true));
		}

	}

}
