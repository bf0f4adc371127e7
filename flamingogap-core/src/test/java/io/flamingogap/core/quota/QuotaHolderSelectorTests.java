package io.flamingogap.core.quota;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link QuotaHolderSelector}.
 */
class QuotaHolderSelectorTests {

	private final QuotaHolderSelector selector = new QuotaHolderSelector();

	private static List<QuotaMember> fleet(int nodes, int zones, int regions) {
		return IntStream.range(0, nodes)
			.mapToObj((i) -> new QuotaMember("node-" + i, "zone-" + i % zones, "region-" + i % zones % regions))
			.toList();
	}

	@Test
	void allNodesSelectTheSameHolders() {
		List<QuotaMember> members = new ArrayList<>(fleet(95, 6, 3));
		List<QuotaMember> holders = this.selector.select("growers", members);
		Collections.shuffle(members, new Random(1));
		assertThat(new QuotaHolderSelector().select("growers", members), is(holders));
	}

	@Test
	void holdersAreInDifferentRegions() {
		for (int i = 0; i < 100; i++) {
			Set<String> regions = this.selector.select("account-" + i, fleet(95, 6, 3))
				.stream()
				.map(QuotaMember::region)
				.collect(Collectors.toSet());
			assertThat(regions, hasSize(3));
		}
	}

	@Test
	void holdersOfOneRegionAreInDifferentZones() {
		for (int i = 0; i < 100; i++) {
			Set<String> zones = this.selector.select("account-" + i, fleet(30, 3, 1))
				.stream()
				.map(QuotaMember::zone)
				.collect(Collectors.toSet());
			assertThat(zones, hasSize(3));
		}
	}

	@Test
	void smallFleetHoldsWithAllItsNodes() {
		assertThat(this.selector.select("growers", fleet(2, 1, 1)), hasSize(2));
		assertThat(this.selector.select("growers", List.of()), hasSize(0));
	}

	@Test
	void newMemberTakesOverFewAccounts() {
		List<QuotaMember> before = fleet(95, 6, 3);
		List<QuotaMember> after = fleet(96, 6, 3);
		long changed = IntStream.range(0, 1_000)
			.filter((i) -> !this.selector.select("account-" + i, before)
				.equals(this.selector.select("account-" + i, after)))
			.count();
		assertThat("a new node is one of 32 in its region", changed, lessThan(70L));
	}

	@Test
	void accountsAreSpreadOverTheNodes() {
		Map<String, Integer> held = new HashMap<>();
		for (int i = 0; i < 950; i++) {
			this.selector.select("account-" + i, fleet(95, 6, 3))
				.forEach((holder) -> held.merge(holder.node(), 1, Integer::sum));
		}
		assertThat(held.keySet(), hasSize(95));
		assertThat("30 on average", Collections.max(held.values()), lessThan(60));
	}

}
