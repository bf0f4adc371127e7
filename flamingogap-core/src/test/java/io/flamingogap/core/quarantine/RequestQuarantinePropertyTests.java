package io.flamingogap.core.quarantine;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Property tests of {@link RequestQuarantine} over all nodes of a fleet.
 */
class RequestQuarantinePropertyTests {

	/** Requests with the part that may reach servers after the bound. */
	private static final int MAX_LATE_ARRIVALS = 3;

	/** Servers that one request may end. */
	private static final int MAX_SERVERS_ENDED = 3;

	/**
	 * Sound requests may be refused for a moment, until nodes have told each other that
	 * servers survived their parts.
	 */
	private static final double MAX_SOUND_REFUSED = 0.01;

	// Requests of one kind kept crashing servers; or sound requests that share their
	// other
	// parts were stopped with them.
	@Property(tries = 300, seed = "20261205")
	void partIsStoppedInTimeAndNothingElse(@ForAll @LongRange(max = 1_000_000) long seed) {
		QuarantineFleetSimulation fleet = new QuarantineFleetSimulation(seed, QuarantineFleetSimulation.Culprit.PART);
		fleet.run();
		assertThat(fleet.lateArrivals(), lessThanOrEqualTo(MAX_LATE_ARRIVALS));
		assertThat(fleet.soundRefusedShare(), lessThanOrEqualTo(MAX_SOUND_REFUSED));
	}

	// A request that its caller repeated crashed one server after the other; or sound
	// requests that were open at the same servers were stopped with it.
	@Property(tries = 20, seed = "20261205")
	void requestIsStoppedInTimeAndNothingElse(@ForAll @LongRange(max = 1_000_000) long seed) {
		QuarantineFleetSimulation fleet = new QuarantineFleetSimulation(seed,
				QuarantineFleetSimulation.Culprit.REQUEST);
		fleet.run();
		assertThat(fleet.mostServersEndedByARequest(), lessThanOrEqualTo(MAX_SERVERS_ENDED));
		assertThat(fleet.soundRefusedShare(), lessThanOrEqualTo(MAX_SOUND_REFUSED));
	}

}
