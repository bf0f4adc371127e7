package io.flamingogap.core.servers;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

/**
 * Tests of how {@link ServerSelector} weighs what is cached of a prompt against the wait.
 */
class PromptPlacementTests {

	private static final long NOW = 10_000;

	private static final long SHARED_TOKENS = 6_000;

	private final Node node = new Node();

	private static PromptMetadata prompt(String prefix, String own) {
		return new PromptMetadata(SHARED_TOKENS + 1_000, 100,
				List.of(new PromptPart(prefix, SHARED_TOKENS), new PromptPart(own, 1_000)));
	}

	@Test
	void nodesThatKnowNothingAgreeOnTheFirstServer() {
		Node other = new Node();
		assertThat(other.choose(prompt("aa", "y")).registration().id(),
				is(this.node.choose(prompt("aa", "x")).registration().id()));
	}

	// Fails if cached tokens are never preferred.
	@Test
	void shortWaitIsAcceptedForACachedPrefix() {
		KnownServer first = this.node.choose(prompt("aa", "x"));
		first.promptCache().record(prompt("aa", "x"));
		first.load().recordSent(SHARED_TOKENS / 2);
		assertThat(this.node.choose(prompt("aa", "y")), is(first));
	}

	// Fails if the server that rendezvous hashing prefers is always preferred.
	@Test
	void longWaitOutweighsACachedPrefix() {
		KnownServer first = this.node.choose(prompt("aa", "x"));
		first.promptCache().record(prompt("aa", "x"));
		first.load().recordSent(2 * SHARED_TOKENS);
		assertThat(this.node.choose(prompt("aa", "y")), is(not(first)));
	}

	@Test
	void nodesAgreeOnTheServerThatGetsASecondCopy() {
		Node other = new Node();
		for (Node each : List.of(this.node, other)) {
			each.choose(prompt("aa", "x")).load().recordSent(4 * SHARED_TOKENS);
		}
		assertThat(other.choose(prompt("aa", "y")).registration().id(),
				is(this.node.choose(prompt("aa", "x")).registration().id()));
	}

	@Test
	void secondCopyIsUsedWhileTheFirstServerIsBusy() {
		KnownServer first = this.node.choose(prompt("aa", "x"));
		first.load().recordSent(4 * SHARED_TOKENS);
		KnownServer second = this.node.choose(prompt("aa", "y"));
		second.promptCache().record(prompt("aa", "y"));
		second.load().recordSent(SHARED_TOKENS / 2);
		assertThat(this.node.choose(prompt("aa", "z")), is(second));
		first.load().recordPromptRead(4 * SHARED_TOKENS);
		assertThat(this.node.choose(prompt("aa", "z")), is(first));
	}

	@Test
	void firstServerIsBelievedLessAfterItMissed() {
		KnownServer first = this.node.choose(prompt("aa", "x"));
		first.load().recordSent(SHARED_TOKENS / 2);
		assertThat(this.node.choose(prompt("aa", "x")), is(first));
		for (int i = 0; i < 60; i++) {
			this.node.pace.placementTrust().record(0, false);
		}
		assertThat(this.node.choose(prompt("aa", "x")), is(not(first)));
	}

	@Test
	void engineWithLittleMemoryKeepsOnlyWhatWasUsedLast() {
		PromptCacheEstimate cache = new PromptCacheEstimate();
		cache.setMemoryTokens(16_000);
		cache.record(prompt("aa", "x"));
		cache.record(prompt("bb", "x"));
		assertThat(cache.estimateCachedTokens(prompt("aa", "y")), is(SHARED_TOKENS));
		cache.record(prompt("cc", "x"));
		assertThat(cache.estimateCachedTokens(prompt("aa", "y")), is(0L));
		assertThat(cache.estimateCachedTokens(prompt("bb", "y")), is(SHARED_TOKENS));
	}

	@Test
	void prefixOfManyRequestsStaysWhileOneOfFewIsEvicted() {
		PromptCacheEstimate cache = new PromptCacheEstimate();
		cache.setMemoryTokens(30_000);
		cache.record(prompt("few", "x"));
		for (int i = 0; i < 10; i++) {
			cache.record(prompt("many", "x" + i));
		}
		assertThat(cache.estimateCachedTokens(prompt("many", "y")), is(SHARED_TOKENS));
		assertThat(cache.estimateCachedTokens(prompt("few", "y")), is(0L));
	}

	@Test
	void engineWithoutRoomForAPromptKeepsNothing() {
		PromptCacheEstimate cache = new PromptCacheEstimate();
		cache.setMemoryTokens(5_000);
		cache.record(prompt("aa", "x"));
		cache.record(prompt("bb", "x"));
		assertThat(cache.estimateCachedTokens(prompt("aa", "y")), is(0L));
	}

	@Test
	void partsCountOnlyIfAllBeforeThemAreCached() {
		PromptCacheEstimate cache = new PromptCacheEstimate();
		cache.record(prompt("aa", "x"));
		PromptMetadata other = new PromptMetadata(9_000, 10,
				List.of(new PromptPart("zz", 1_000), new PromptPart("aa", SHARED_TOKENS), new PromptPart("x", 1_000)));
		assertThat(cache.estimateCachedTokens(other), is(0L));
	}

	@Test
	void missShowsThatEverythingUsedBeforeIsEvicted() {
		PromptCacheEstimate cache = new PromptCacheEstimate();
		cache.record(prompt("old", "x"));
		cache.record(prompt("aa", "x"));
		cache.record(prompt("new", "x"));
		long lastUse = cache.lastUse(prompt("aa", "y"));
		cache.record(prompt("aa", "y"));
		cache.recordMiss(lastUse);
		assertThat(cache.estimateCachedTokens(prompt("old", "z")), is(0L));
		assertThat(cache.estimateCachedTokens(prompt("new", "z")), is(SHARED_TOKENS));
		assertThat(cache.estimateCachedTokens(prompt("aa", "z")), is(SHARED_TOKENS));
	}

	@Test
	void promptThatTheServerDidNotReadIsNotCached() {
		PromptCacheEstimate cache = new PromptCacheEstimate();
		cache.withdraw(cache.record(prompt("aa", "x")));
		assertThat(cache.estimateCachedTokens(prompt("aa", "y")), is(0L));
	}

	@Test
	void serverThatRestartsHasNothingCached() {
		this.node.register("s0", 1, 1).promptCache().record(prompt("aa", "x"));
		KnownServer restarted = this.node.register("s0", 2, 2);
		assertThat(restarted.promptCache().estimateCachedTokens(prompt("aa", "y")), is(0L));
	}

	@Test
	void prefixMovesWhenItsServerLeaves() {
		KnownServer first = this.node.choose(prompt("aa", "x"));
		first.promptCache().record(prompt("aa", "x"));
		this.node.table.depart(first.registration().id(), 1);
		KnownServer second = this.node.choose(prompt("aa", "x"));
		assertThat(second, is(not(first)));
		second.promptCache().record(prompt("aa", "x"));
		second.load().recordSent(SHARED_TOKENS / 2);
		assertThat(this.node.choose(prompt("aa", "y")), is(second));
	}

	@Test
	void trustIsLearnedFromHitsAndMisses() {
		PlacementTrust trust = new PlacementTrust();
		for (int i = 0; i < 100; i++) {
			trust.record(0, i % 4 != 0);
			trust.record(PrefixPlacement.UNRANKED, true);
		}
		assertThat(trust.shareOf(0), closeTo(0.75, 0.1));
		assertThat(trust.shareOf(1), lessThan(trust.shareOf(0)));
		assertThat(trust.shareOf(PrefixPlacement.UNRANKED), is(0.0));
	}

	@Test
	void outcomeIsToldFromTheTimeToTheFirstToken() {
		KnownServer server = this.node.register("s0", 1, 1);
		ExpectedDelay delay = new ExpectedDelay(0, 20, 15, 0, 0, 0, 500);
		ServerChoice choice = new ServerChoice(server, delay, SHARED_TOKENS, 0);
		assertThat(CacheOutcome.of(choice, SHARED_TOKENS, 0.01, 40), is(CacheOutcome.HIT));
		assertThat(CacheOutcome.of(choice, SHARED_TOKENS, 0.01, 90), is(CacheOutcome.MISS));
		assertThat(CacheOutcome.of(choice, SHARED_TOKENS, 0.01, 400), is(CacheOutcome.UNCLEAR));
		assertThat(CacheOutcome.of(choice, 500, 0.01, 90), is(CacheOutcome.UNCLEAR));
	}

	@Test
	void halfBelievedPrefixIsToldLikeABelievedOne() {
		KnownServer server = this.node.register("s0", 1, 1);
		ServerChoice choice = new ServerChoice(server, new ExpectedDelay(0, 50, 15, 0, 0, 0, 0), SHARED_TOKENS / 2.0,
				0);
		assertThat(CacheOutcome.of(choice, SHARED_TOKENS, 0.01, 40), is(CacheOutcome.HIT));
		assertThat(CacheOutcome.of(choice, SHARED_TOKENS, 0.01, 90), is(CacheOutcome.MISS));
	}

	@Test
	void believedTokensAreInTheChoice() {
		this.node.choose(prompt("aa", "x"));
		assertThat(this.node.chooseServer(prompt("aa", "x")).cachedTokens(), greaterThan(SHARED_TOKENS * 0.7));
	}

	// Two copies were kept for ever, and the node's other prefixes evicted for it.
	@Test
	void firstServerIsUsedAgainWhenItIsNoLongerBusy() {
		KnownServer first = this.node.choose(prompt("aa", "x"));
		first.load().recordSent(4 * SHARED_TOKENS);
		KnownServer second = this.node.choose(prompt("aa", "y"));
		second.promptCache().record(prompt("aa", "y"));
		second.load().recordSent(1_000);
		first.load().recordPromptRead(4 * SHARED_TOKENS);
		first.load().recordEnd();
		assertThat(this.node.choose(prompt("aa", "z")), is(first));
	}

	@Test
	void momentOfSlownessIsNotTakenForAMiss() {
		KnownServer server = this.node.register("s0", 1, 1);
		ServerChoice choice = new ServerChoice(server, new ExpectedDelay(0, 65, 15, 0, 0, 0, 0), SHARED_TOKENS, 0);
		assertThat(CacheOutcome.of(choice, SHARED_TOKENS, 0.01, 2.5 * 80), is(CacheOutcome.UNCLEAR));
	}

	/** What one node of the zone knows. */
	private static final class Node {

		private final ServerTable table = new ServerTable();

		private final ServicePace pace = new ServicePace();

		private final ServerSelector selector = new ServerSelector(new NodeLocality("z1", Map.of("z1", "r1")));

		private Node() {
			for (int i = 0; i < 6; i++) {
				register("s" + i, 1, 1);
			}
			PromptSpeedTests.observe(this.pace.promptSpeed(), 100, NOW);
		}

		private KnownServer register(String id, long startedAtMillis, long sequence) {
			this.table.register(new ServerRegistration(id, "engine", Address.parse("10.0.0.1:80"), "z1", "v1", 12,
					false, false, startedAtMillis, sequence), sequence);
			return this.table.find(id).get();
		}

		private ServerChoice chooseServer(PromptMetadata prompt) {
			return this.selector
				.choose(this.table.ofService("engine"), new RequestNeeds(prompt, 0, true), this.pace, (server) -> true,
						NOW)
				.get();
		}

		private KnownServer choose(PromptMetadata prompt) {
			return chooseServer(prompt).server();
		}

	}

}
