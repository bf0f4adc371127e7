package io.flamingogap.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.membership.MemberState;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.RequestKey;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link EntryNodeSelector}.
 */
class EntryNodeSelectorTests {

	private static Member member(int number, int zone, MemberState state, boolean unreachable) {
		return new Member(new NodeId("entry-" + number, number), "zone-" + zone,
				new Address("127.0.0.1", 1_000 + number), new Address("127.0.0.1", 2_000 + number), state, 1,
				unreachable, null);
	}

	private static List<Member> fleet() {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			members.add(member(i, i % 3, MemberState.SERVING, false));
		}
		return members;
	}

	@Test
	void zonesTakeTurns() {
		List<EntryEndpoint> points = EntryNodeSelector.choose(fleet(), 4, 3, 0);
		assertThat(points.stream().map(EntryEndpoint::zone).distinct().count(), is(3L));
	}

	@Test
	void callersSpreadOverAllNodes() {
		Map<Address, Integer> first = new HashMap<>();
		for (int ticket = 0; ticket < 600; ticket++) {
			first.merge(EntryNodeSelector.choose(fleet(), ticket, 3, 0).get(0).address(), 1, Integer::sum);
		}
		assertThat(first.values(), everyItem(is(100)));
	}

	@Test
	void leavingAndUnheardNodesAreLeftOut() {
		List<Member> members = List.of(member(0, 0, MemberState.DRAINING, false),
				member(1, 1, MemberState.SERVING, true), member(2, 2, MemberState.SERVING, false));
		List<EntryEndpoint> points = EntryNodeSelector.choose(members, 0, 3, 0);
		assertThat(points.size(), is(1));
		assertThat(points.get(0).zone(), is("zone-2"));
	}

	@Test
	void prefixesNameTheNodeAndTheTime() {
		EntryEndpoint point = EntryNodeSelector.choose(fleet(), 0, 1, 12_345).get(0);
		RequestKey key = RequestKey.parse(point.keyPrefix() + "caller-part").get();
		assertThat(key.issuer(), is(new NodeId("entry-0", 0)));
		assertThat(key.issuedAtMillis(), is(12_345L));
	}

}
