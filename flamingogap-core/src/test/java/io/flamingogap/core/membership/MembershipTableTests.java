package io.flamingogap.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests of {@link MembershipTable}, {@link NeighbourSelector} and
 * {@link SuccessorSelector}.
 */
class MembershipTableTests {

	private static final Address ADDRESS = new Address("127.0.0.1", 80);

	private static NodeId node(int number) {
		return new NodeId("entry-" + number, number);
	}

	private static Member row(int number, MemberState state, long version, @Nullable NodeId successor) {
		return new Member(node(number), "zone-" + number % 3, ADDRESS, ADDRESS, state, version, false, successor);
	}

	private static Member serving(int number) {
		return row(number, MemberState.SERVING, 1, null);
	}

	@Property(tries = 500, seed = "20261204")
	void tablesAgreeOnVersionsAfterMergingEachOther(@ForAll @Size(max = 20) List<@IntRange(max = 23) Integer> rows) {
		MembershipTable first = new MembershipTable(serving(9), 0);
		MembershipTable second = new MembershipTable(serving(9), 0);
		List<Member> members = new ArrayList<>();
		for (int row : rows) {
			Member member = row(row % 3, MemberState.values()[row % 4], 1 + row / 4, null);
			members.add((row % 2 == 0) ? member : member.asUnreachable());
		}
		members.sort((left, right) -> left.state().compareTo(right.state()));
		members.forEach((member) -> first.merge(member, 0));
		for (int i = members.size() - 1; i >= 0; i--) {
			second.merge(members.get(i), 0);
		}
		members.forEach((member) -> second.merge(member, 0));
		first.members().forEach((member) -> second.merge(member, 0));
		second.members().forEach((member) -> first.merge(member, 0));
		assertThat(versions(first), is(versions(second)));
	}

	private static List<String> versions(MembershipTable table) {
		return table.members()
			.stream()
			.map((member) -> member.node() + " " + member.version() + " " + member.unreachable())
			.toList();
	}

	@Test
	void changesReachAllNodesInFewHops() {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < 330; i++) {
			members.add(serving(i));
		}
		Set<NodeId> reached = new HashSet<>(Set.of(node(0)));
		int hops = 0;
		while (reached.size() < members.size()) {
			Set<NodeId> next = new HashSet<>(reached);
			reached.forEach((from) -> NeighbourSelector.choose(from, members, 4).forEach((to) -> next.add(to.node())));
			reached = next;
			hops++;
		}
		assertThat(hops, lessThanOrEqualTo(25));
	}

	@Test
	void successorIsInAnotherZoneAndServes() {
		List<Member> members = List.of(serving(0), serving(3), row(1, MemberState.DRAINING, 2, null), serving(2));
		assertThat(SuccessorSelector.choose(serving(0), members, Set.of()).orElseThrow().node(), is(node(2)));
		assertThat(SuccessorSelector.choose(serving(0), members, Set.of(node(2))).orElseThrow().node(), is(node(3)));
	}

	@Nested
	class Merging {

		private final MembershipTable table = new MembershipTable(serving(0), 0);

		@Test
		void laterVersionReplacesAnEarlierOne() {
			this.table.merge(row(1, MemberState.DRAINING, 2, null), 1);
			this.table.merge(serving(1), 2);
			assertThat(this.table.find(node(1)).orElseThrow().state(), is(MemberState.DRAINING));
		}

		@Test
		void nodeReportedUnreachableRefutesTheReport() {
			this.table.merge(serving(0).asUnreachable(), 1);
			assertThat(this.table.localMember().isServing(), is(true));
			assertThat(this.table.localMember().version(), is(2L));
		}

		@Test
		void successorChainLeadsToTheOwner() {
			this.table.merge(row(1, MemberState.HANDED_OVER, 2, node(2)), 1);
			this.table.merge(row(2, MemberState.GONE, 3, node(0)), 1);
			assertThat(this.table.ownerOf(node(1)), is(node(0)));
		}

		@Test
		void unreachableNodesAreRemoved() {
			this.table.merge(serving(1), 1);
			this.table.markUnreachable(node(1), 2);
			this.table.removeUnreachableChangedBefore(3);
			assertThat(this.table.find(node(1)).isPresent(), is(false));
		}

	}

}
