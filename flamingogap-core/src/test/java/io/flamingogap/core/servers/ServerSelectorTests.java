package io.flamingogap.core.servers;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link ServerSelector}.
 */
class ServerSelectorTests {

	private static final long NOW = 10_000;

	private final ServerTable table = new ServerTable();

	private final ServerSelector selector = new ServerSelector(
			new NodeLocality("z1", Map.of("z1", "r1", "z2", "r1", "z3", "r2")));

	private final ServicePace pace = new ServicePace();

	private KnownServer server(String id, String zone, int slots) {
		this.table.register(new ServerRegistration(id, "engine", Address.parse("10.0.0.1:80"), zone, "v1", slots, false,
				false, 1, 1), 1);
		return this.table.find(id).get();
	}

	private Optional<String> choose(PromptMetadata prompt) {
		return chooseServer(prompt).map((choice) -> choice.server().registration().id());
	}

	private Optional<ServerChoice> chooseServer(PromptMetadata prompt) {
		return this.selector.choose(this.table.ofService("engine"), new RequestNeeds(prompt, 0, true), this.pace,
				(server) -> true, NOW);
	}

	// Requests were refused although the only server had most of its registered slots
	// free.
	@Test
	void serverThatReportsFewSlotsIsNotFullBeforeItsRegisteredOnesAreTaken() {
		KnownServer only = server("only", "z1", 200);
		only.recordReportedSlots(8);
		for (int i = 0; i < 13; i++) {
			only.load().recordSent(0);
		}
		assertThat(choose(PromptMetadata.NONE), is(Optional.of("only")));
	}

	@Test
	void idleServerOfTheOwnZoneIsPreferred() {
		server("far", "z3", 8);
		server("near", "z1", 8);
		assertThat(choose(PromptMetadata.NONE), is(Optional.of("near")));
	}

	@Test
	void idleServerOfAnotherZoneIsPreferredToALoadedOneOfTheOwnZone() {
		server("far", "z2", 8);
		KnownServer near = server("near", "z1", 8);
		for (int i = 0; i < 9; i++) {
			near.load().recordSent(0);
		}
		assertThat(choose(PromptMetadata.NONE), is(Optional.of("far")));
	}

	@Test
	void failingServerIsAvoided() {
		KnownServer near = server("near", "z1", 8);
		server("other", "z1", 8);
		for (int i = 0; i < 4; i++) {
			near.health().recordFailure(NOW);
		}
		assertThat(choose(PromptMetadata.NONE), is(Optional.of("other")));
	}

	@Test
	void fullServerIsNotChosen() {
		KnownServer only = server("only", "z1", 2);
		for (int i = 0; i < 3; i++) {
			only.load().recordSent(0);
		}
		assertThat(choose(PromptMetadata.NONE), is(Optional.empty()));
	}

	@Test
	void promptsWithTheSameSharedPrefixPreferTheSameServer() {
		for (int i = 0; i < 5; i++) {
			server("s" + i, "z1", 8);
		}
		PromptMetadata one = new PromptMetadata(6_000, 10,
				List.of(new PromptPart("aa", 5_000), new PromptPart("x", 1_000)));
		PromptMetadata two = new PromptMetadata(6_500, 10,
				List.of(new PromptPart("aa", 5_000), new PromptPart("y", 1_500)));
		assertThat(choose(one), is(choose(two)));
	}

	@Test
	void serverWithCachedPrefixIsPreferredToALoadedOne() {
		KnownServer away = server("away", "z2", 8);
		PromptMetadata prompt = new PromptMetadata(9_000, 10,
				List.of(new PromptPart("aa", 8_000), new PromptPart("x", 1_000)));
		server("home", "z1", 8);
		away.promptCache().record(prompt);
		for (int i = 0; i < 3; i++) {
			this.table.find("home").get().load().recordSent(4_000);
		}
		assertThat(choose(prompt), is(Optional.of("away")));
	}

	@Test
	void workReturnsGraduallyToAServerAfterItsPause() {
		KnownServer paused = server("paused", "z1", 8);
		server("away", "z3", 8);
		this.table.pause(paused.registration(), 1_000, NOW - 1_000);
		assertThat(choose(PromptMetadata.NONE), is(Optional.of("away")));
		this.table.pause(paused.registration(), 1_000, NOW - 3_000);
		assertThat(choose(PromptMetadata.NONE), is(Optional.of("paused")));
	}

	@ParameterizedTest
	@CsvSource({ "15, away", "60, away", "240, near" })
	void backlogWeighsAsMuchAsTheEngineTakesToReadIt(double tokensPerMilli, String expected) {
		PromptSpeedTests.observe(this.pace.promptSpeed(), tokensPerMilli, NOW);
		server("away", "z3", 8);
		server("near", "z1", 8).load().recordSent(10_000);
		assertThat(choose(PromptMetadata.NONE), is(Optional.of(expected)));
	}

	@Test
	void promptGoesToTheServerWhoseBacklogIsReadFirstAtItsOwnSpeed() {
		KnownServer slow = server("slow", "z1", 8);
		slow.load().recordSent(3_000);
		server("fast", "z1", 8).load().recordSent(4_000);
		PromptMetadata prompt = new PromptMetadata(1_000, 10, List.of(new PromptPart("x", 1_000)));
		assertThat(choose(prompt), is(Optional.of("slow")));
		for (int i = 0; i < 5; i++) {
			slow.slowness().recordObservation(100, 250, NOW);
		}
		assertThat(choose(prompt), is(Optional.of("fast")));
	}

	@Test
	void requestGoesToAnotherZoneWhenTheWaitAtHomeExceedsTheWay() {
		KnownServer near = server("near", "z1", 2);
		server("away", "z2", 2);
		for (int i = 0; i < 2; i++) {
			near.load().recordSent(0);
		}
		assertThat(choose(PromptMetadata.NONE), is(Optional.of("away")));
	}

	@Test
	void expectedFirstTokenContainsBacklogOwnPromptAndWay() {
		PromptSpeedTests.observe(this.pace.promptSpeed(), 100, NOW);
		KnownServer only = server("only", "z3", 8);
		only.load().recordSent(10_000);
		PromptMetadata prompt = new PromptMetadata(10_000, 10, List.of(new PromptPart("x", 10_000)));
		ServerChoice choice = chooseServer(prompt).get();
		assertThat(choice.delay().backlogMillis() + choice.delay().readMillis(), closeTo(200, 20));
		assertThat(choice.delay().firstTokenMillis(), closeTo(285, 40));
	}

	private Optional<String> choose(int urgency, boolean repeatable, PromptMetadata prompt) {
		return this.selector
			.choose(this.table.ofService("engine"), new RequestNeeds(prompt, urgency, repeatable), this.pace,
					(server) -> true, NOW)
			.map((choice) -> choice.server().registration().id());
	}

	private static PromptMetadata prompt(long tokens) {
		return new PromptMetadata(tokens, 10, List.of(new PromptPart("x", tokens)));
	}

	private void ask(int urgency, int count) {
		for (int i = 0; i < count; i++) {
			this.pace.urgencyMix().record(urgency, NOW);
		}
	}

	private void open(KnownServer server, int count) {
		for (int i = 0; i < count; i++) {
			server.load().recordSent(0);
		}
	}

	@Test
	void roomIsKeptForMoreUrgentRequestsWhileTheyAsk() {
		open(server("only", "z1", 10), 13);
		assertThat(choose(2, true, prompt(100)), is(Optional.of("only")));
		ask(0, 50);
		ask(2, 50);
		assertThat(choose(2, true, prompt(100)), is(Optional.empty()));
		assertThat(choose(0, true, prompt(100)), is(Optional.of("only")));
	}

	@Test
	void roomIsKeptInProportionToWhatIsAsked() {
		open(server("only", "z1", 10), 13);
		ask(0, 10);
		ask(2, 90);
		assertThat(choose(2, true, prompt(100)), is(Optional.of("only")));
	}

	@Test
	void lessUrgentRequestsAreServedWhileASlotIsFree() {
		open(server("only", "z1", 10), 8);
		ask(0, 10_000);
		assertThat(choose(2, true, prompt(100)), is(Optional.of("only")));
	}

	@Test
	void largeAndSmallRequestsOfOneRankHaveTheSameRoom() {
		KnownServer only = server("only", "z1", 10);
		ask(0, 50);
		ask(1, 50);
		for (int i = 0; i < 15; i++) {
			assertThat(choose(1, true, prompt(20_000)), is(choose(1, true, prompt(100))));
			open(only, 1);
		}
	}

	@Test
	void shortUrgentPromptIsNotPlacedBehindALongUnreadOne() {
		KnownServer first = server("first", "z1", 10);
		server("second", "z1", 10);
		first.load().recordSent(12_000);
		open(this.table.find("second").get(), 6);
		assertThat(choose(0, false, prompt(800)), is(Optional.of("second")));
	}

	@Test
	void requestThatMayNotBeRepeatedGoesWhereASlotIsFree() {
		open(server("near", "z1", 6), 6);
		server("away", "z3", 6);
		assertThat(choose(0, true, PromptMetadata.NONE), is(Optional.of("near")));
		assertThat(choose(0, false, PromptMetadata.NONE), is(Optional.of("away")));
	}

	@Test
	void requestThatMayNotBeRepeatedIsServedIfNoSlotIsFree() {
		open(server("near", "z1", 6), 6);
		open(server("away", "z3", 6), 7);
		assertThat(choose(0, false, PromptMetadata.NONE), is(Optional.of("near")));
	}

	@Test
	void serverThatShedARequestIsNotSentTheNextOne() {
		KnownServer near = server("near", "z1", 6);
		server("away", "z3", 6);
		near.load().recordFull(6, 80, NOW);
		assertThat(choose(0, false, PromptMetadata.NONE), is(Optional.of("away")));
	}

	// A node that stalled for a moment blamed the server and refused what came next.
	@Test
	void shortRequestsAtASlowServerAreNotExpectedToWaitLong() {
		KnownServer only = server("only", "z1", 200);
		for (int i = 0; i < 100; i++) {
			this.pace.slotTime().record(1);
			only.slowness().recordObservation(1, 100, NOW);
		}
		open(only, 30);
		ServerChoice choice = chooseServer(PromptMetadata.NONE).get();
		assertThat(choice.delay().waitMillis(), lessThan(20.0));
	}

}
