package io.flamingogap.core.quarantine;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link RequestQuarantine}.
 */
class RequestQuarantineTests {

	private static final String SERVICE = "engine";

	private static final long QUARANTINE_MILLIS = 600_000;

	private static final long TRIAL_DELAY_MILLIS = 1_000;

	private final RequestQuarantine quarantine = new RequestQuarantine(TRIAL_DELAY_MILLIS);

	private int servers;

	private List<QuarantineRule> crash(long nowMillis, String... parts) {
		this.servers++;
		return this.quarantine.recordCrash(new CrashSighting("s" + this.servers, 1, SERVICE, Set.of(parts)), nowMillis)
			.begun();
	}

	private boolean stops(long nowMillis, String... parts) {
		return this.quarantine.isQuarantined(SERVICE, List.of(parts), nowMillis);
	}

	@Test
	void partOfThreeCrashesIsStopped() {
		crash(1_000, "a", "bad");
		assertThat(crash(2_000, "b", "bad"), is(empty()));
		assertThat(crash(3_000, "c", "bad"), contains(QuarantineRule.of(SERVICE, Set.of("bad"))));
		assertThat(stops(3_000, "x", "bad"), is(true));
		assertThat(stops(3_000, "a", "b", "c"), is(false));
		assertThat(this.quarantine.isQuarantined("other", List.of("bad"), 3_000), is(false));
	}

	@Test
	void sightingsOfOneCrashCountOnce() {
		for (int i = 0; i < 5; i++) {
			this.quarantine.recordCrash(new CrashSighting("s", 1, SERVICE, Set.of("a")), i * 1_000L);
		}
		assertThat(stops(5_000, "a"), is(false));
	}

	@Test
	void serversThatCrashAtOnceCountAsOneCrash() {
		for (int i = 0; i < 9; i++) {
			crash(1_000 + i, "a");
		}
		assertThat(stops(2_000, "a"), is(false));
	}

	@Test
	void partThatSurvivedIsNoSuspect() {
		this.quarantine.recordSurvival(SERVICE, List.of("first", "own"), 500);
		crash(1_000, "first", "bad");
		crash(2_000, "first", "bad");
		crash(3_000, "first", "bad");
		assertThat(stops(3_000, "first", "own"), is(false));
		assertThat(stops(3_000, "first", "bad"), is(true));
	}

	// Sound requests share all parts but one with those that crash servers.
	@Test
	void partsThatAreAlwaysTogetherAreStoppedOnlyTogether() {
		crash(1_000, "first", "own", "bad");
		crash(2_000, "first", "own", "bad");
		crash(3_000, "first", "own", "bad");
		assertThat(stops(3_000, "first", "own"), is(false));
		assertThat(stops(3_000, "first", "own", "bad"), is(true));
	}

	@Test
	void crashWithoutTheOtherPartTellsThePart() {
		crash(1_000, "own", "bad");
		crash(2_000, "own", "bad");
		crash(3_000, "own", "bad");
		assertThat(stops(3_000, "else", "bad"), is(false));
		crash(4_000, "else", "bad");
		assertThat(stops(4_000, "other", "bad"), is(true));
		assertThat(stops(4_000, "own"), is(false));
	}

	@Test
	void survivalOfTheOtherPartTellsThePart() {
		crash(1_000, "own", "bad");
		crash(2_000, "own", "bad");
		crash(3_000, "own", "bad");
		this.quarantine.recordSurvival(SERVICE, List.of("own"), 4_000);
		assertThat(stops(4_000, "else", "bad"), is(true));
		assertThat(stops(4_000, "own"), is(false));
	}

	@Test
	void twoPartsThatCrashServersAreBothStopped() {
		for (int i = 0; i < 3; i++) {
			crash(1_000 + i * 1_000L, "bad", "a" + i);
			crash(1_500 + i * 1_000L, "worse", "b" + i);
		}
		assertThat(stops(4_000, "bad"), is(true));
		assertThat(stops(4_000, "worse"), is(true));
	}

	@Test
	void partThatWasInFewOtherCrashesIsNotStopped() {
		crash(1_000, "own", "bad");
		crash(2_000, "own", "bad");
		crash(3_000, "bad");
		crash(4_000, "own", "bad");
		assertThat(stops(4_000, "own"), is(false));
		assertThat(stops(4_000, "bad"), is(true));
	}

	// A rare sound part was in three crashes by chance, before the cause of two of them
	// had
	// been in as many.
	@Test
	void laterCrashesEndTheQuarantineOfAPartThatIsNoCause() {
		crash(1_000, "own");
		crash(2_000, "own", "bad");
		crash(3_000, "own", "bad");
		assertThat(stops(3_000, "own"), is(true));
		crash(4_000, "bad");
		assertThat(stops(4_000, "own"), is(false));
		assertThat(stops(4_000, "own", "bad"), is(true));
		crash(5_000, "bad");
		assertThat(stops(5_000, "own"), is(false));
		assertThat(stops(5_000, "bad"), is(true));
		assertThat(this.quarantine.adopt(QuarantineRule.of(SERVICE, Set.of("own")), 5_000, 5_000), is(false));
	}

	@Test
	void survivalEndsAQuarantine() {
		crash(1_000, "a");
		crash(2_000, "a");
		crash(3_000, "a");
		assertThat(this.quarantine.recordSurvival(SERVICE, List.of("a"), 3_500).ended(),
				contains(QuarantineRule.of(SERVICE, Set.of("a"))));
		assertThat(stops(3_500, "a"), is(false));
		crash(4_000, "a");
		crash(5_000, "a");
		assertThat(stops(5_000, "a"), is(false));
	}

	@Test
	void sightingThatIsRepeatedAfterASurvivalDoesNotCount() {
		CrashSighting sighting = new CrashSighting("s", 1, SERVICE, Set.of("a"));
		this.quarantine.recordCrash(sighting, 1_000);
		this.quarantine.recordSurvival(SERVICE, List.of("a"), 2_000);
		this.quarantine.recordCrash(sighting, 3_000);
		crash(4_000, "a");
		crash(5_000, "a");
		assertThat(stops(5_000, "a"), is(false));
	}

	@Test
	void oneRequestAtATimeIsLetThroughAfterTheEnd() {
		crash(1_000, "a");
		crash(2_000, "a");
		crash(3_000, "a");
		long endMillis = 3_000 + QUARANTINE_MILLIS;
		assertThat(this.quarantine.admit(SERVICE, List.of("a"), 3_000),
				is(OptionalLong.of(QUARANTINE_MILLIS + TRIAL_DELAY_MILLIS)));
		assertThat(this.quarantine.admit(SERVICE, List.of("a"), endMillis), is(OptionalLong.of(TRIAL_DELAY_MILLIS)));
		long trialMillis = endMillis + TRIAL_DELAY_MILLIS;
		assertThat(this.quarantine.admit(SERVICE, List.of("a"), trialMillis).isEmpty(), is(true));
		assertThat(this.quarantine.admit(SERVICE, List.of("a"), trialMillis).isPresent(), is(true));
		assertThat(stops(trialMillis, "a"), is(false));
		assertThat(crash(trialMillis + 100, "a"), contains(QuarantineRule.of(SERVICE, Set.of("a"))));
		assertThat(stops(trialMillis + 100, "a"), is(true));
	}

	@Test
	void adoptedRuleStopsAndIsReleased() {
		QuarantineRule rule = QuarantineRule.of(SERVICE, Set.of("a"));
		assertThat(this.quarantine.adopt(rule, 5_000, 1_000), is(true));
		assertThat(this.quarantine.adopt(rule, 4_000, 2_000), is(false));
		assertThat(stops(5_999, "a"), is(true));
		assertThat(stops(6_000, "a"), is(false));
		this.quarantine.release(rule);
		assertThat(this.quarantine.admit(SERVICE, List.of("a"), 2_000).isEmpty(), is(true));
	}

	// A rule that had ended began anew with a crash that had nothing to do with it.
	@Test
	void crashesOfLongAgoDontBeginAQuarantine() {
		crash(1_000, "a");
		crash(2_000, "a");
		crash(3_000, "a");
		long laterMillis = 3_000 + 2 * QUARANTINE_MILLIS;
		assertThat(this.quarantine.expire(laterMillis), contains(QuarantineRule.of(SERVICE, Set.of("a"))));
		assertThat(crash(laterMillis, "b"), is(empty()));
		assertThat(stops(laterMillis, "a"), is(false));
	}

	@Test
	void endedRulesAreForgotten() {
		QuarantineRule rule = QuarantineRule.of(SERVICE, Set.of("a"));
		this.quarantine.adopt(rule, 5_000, 1_000);
		assertThat(this.quarantine.expire(7_000), is(empty()));
		assertThat(this.quarantine.expire(7_000 + QUARANTINE_MILLIS), contains(rule));
		assertThat(this.quarantine.size(), is(0));
	}

	// A request that its caller repeated crashed one server after the other.
	@Test
	void requestOfThreeCrashesIsStopped() {
		this.quarantine.recordSurvival(SERVICE, List.of("first", "own"), 500);
		crash(1_000, "first", "own", "request:1", "request:2");
		crash(2_000, "first", "own", "request:1", "request:3");
		assertThat(this.quarantine.isNearlyCause(SERVICE, "request:1"), is(true));
		assertThat(this.quarantine.isNearlyCause(SERVICE, "request:2"), is(false));
		crash(3_000, "first", "own", "request:1");
		assertThat(stops(3_000, "first", "own", "request:1"), is(true));
		assertThat(stops(3_000, "first", "own", "request:2"), is(false));
		assertThat(stops(3_000, "first", "own", "request:4"), is(false));
	}

	@Test
	void requestThatCrashesServersWithinAMomentIsStopped() {
		crash(1_000, "request:1");
		crash(1_040, "request:1");
		crash(1_080, "request:1");
		assertThat(stops(1_080, "request:1"), is(true));
	}

	@Test
	void requestsThatWereInTheSameCrashesAreEachStopped() {
		crash(1_000, "request:1", "request:2");
		crash(2_000, "request:1", "request:2");
		crash(3_000, "request:1", "request:2");
		assertThat(stops(3_000, "request:1"), is(true));
		assertThat(stops(3_000, "request:2"), is(true));
		assertThat(stops(3_000, "request:3"), is(false));
	}

	@Test
	void survivalClearsARequest() {
		crash(1_000, "request:1", "request:2");
		crash(2_000, "request:1", "request:2");
		assertThat(this.quarantine.recordSurvival(SERVICE, List.of("request:2"), 2_500).contradicts(), is(true));
		crash(3_000, "request:1", "request:2");
		assertThat(stops(3_000, "request:1"), is(true));
		assertThat(stops(3_000, "request:2"), is(false));
	}

	@Test
	void rarePartOfARequestThatCrashesServersIsNotStopped() {
		crash(1_000, "rare", "request:1");
		crash(2_000, "rare", "request:1");
		crash(3_000, "rare", "request:1");
		assertThat(stops(3_000, "rare", "request:1"), is(true));
		assertThat(stops(3_000, "rare", "request:2"), is(false));
	}

	@Test
	void partIsStoppedThoughItsRequestsAreRepeated() {
		for (int i = 1; i <= 3; i++) {
			crash(1_000 * i, "bad", "request:1");
		}
		crash(4_000, "bad", "request:2");
		assertThat(stops(4_000, "bad", "request:3"), is(true));
	}

	// Another request's part was in a crash at the same moment, and the request was
	// stopped only if it had that part, which it hadn't.
	@Test
	void requestIsStoppedWhateverElseCrashesServersAtTheSameMoment() {
		for (int i = 1; i <= 3; i++) {
			crash(1_000 * i, "own", "request:" + (10 + i));
			crash(1_000 * i + 20, "request:1");
		}
		assertThat(stops(3_020, "other", "request:1"), is(true));
	}

	@Test
	void numberOfRulesIsBounded() {
		for (int i = 0; i < 2_000; i++) {
			this.quarantine.adopt(QuarantineRule.of(SERVICE, Set.of("request:" + i)), 600_000, i);
		}
		assertThat(this.quarantine.size(), is(256));
		assertThat(stops(2_000, "request:1999"), is(true));
		assertThat(stops(2_000, "request:1"), is(false));
	}

}
