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

	private static List<Member> members() {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			members.add(member(i, i % 3, MemberState.SERVING, false));
		}
		return members;
	}

	@Test
	void consecutiveNodesAreOfDifferentZones() {
		List<EntryEndpoint> endpoints = EntryNodeSelector.choose(members(), 4, 3, 0);
		assertThat(endpoints.stream().map(EntryEndpoint::zone).distinct().count(), is(3L));
	}

	@Test
	void callersSpreadOverAllNodes() {
		Map<Address, Integer> first = new HashMap<>();
		for (int callNumber = 0; callNumber < 600; callNumber++) {
			first.merge(EntryNodeSelector.choose(members(), callNumber, 3, 0).get(0).address(), 1, Integer::sum);
		}
		assertThat(first.values(), everyItem(is(100)));
	}

	@Test
	void drainingAndUnreachableNodesAreLeftOut() {
		List<Member> members = List.of(member(0, 0, MemberState.DRAINING, false),
				member(1, 1, MemberState.SERVING, true), member(2, 2, MemberState.SERVING, false));
		List<EntryEndpoint> endpoints = EntryNodeSelector.choose(members, 0, 3, 0);
		assertThat(endpoints.size(), is(1));
		assertThat(endpoints.get(0).zone(), is("zone-2"));
	}

	@Test
	void prefixesNameTheNodeAndTheTime() {
		EntryEndpoint endpoint = EntryNodeSelector.choose(members(), 0, 1, 12_345).get(0);
		RequestKey key = RequestKey.parse(endpoint.keyPrefix() + "caller-part").get();
		assertThat(key.issuer(), is(new NodeId("entry-0", 0)));
		assertThat(key.issuedAtMillis(), is(12_345L));
	}

}
