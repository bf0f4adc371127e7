package io.flamingogap.core.servers;

import java.util.Set;

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

}
