package io.flamingogap.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.flamingogap.core.node.NodeId;

/**
 * Selects the nodes with which a node keeps a gossip connection.
 */
public final class NeighbourSelector {

	/**
	 * The fractional part of the golden ratio times 2^64, which spreads consecutive
	 * numbers over all 64 bits.
	 */
	private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

	private static final int HASH_SHIFT = 32;

	private NeighbourSelector() {
	}

	/**
	 * Choose neighbours on a hash ring of all reachable nodes, at distances from the node
	 * that grow exponentially. With a few connections for each node, a change then
	 * reaches all nodes in a number of hops that grows with the logarithm of the number
	 * of nodes, and each node is chosen by as many nodes as it chooses itself.
	 * @param self the node that needs neighbours
	 * @param members all rows of the membership table
	 * @param fanOut the maximum number of neighbours
	 * @return the neighbours; empty if the rows don't include the node itself
	 */
	public static List<Member> choose(NodeId self, List<Member> members, int fanOut) {
		List<Member> ring = members.stream()
			.filter((member) -> member.isReachable() || member.node().equals(self))
			.sorted(Comparator.comparingLong((Member member) -> ringPosition(member.node()))
				.thenComparing((member) -> member.node().toString()))
			.toList();
		int selfIndex = ring.stream().map(Member::node).toList().indexOf(self);
		List<Member> chosen = new ArrayList<>();
		if (selfIndex < 0) {
			return chosen;
		}
		int others = ring.size() - 1;
		int count = Math.min(fanOut, others);
		for (int i = 0; i < count; i++) {
			int distance = (int) Math.round(Math.pow(ring.size(), (double) i / fanOut));
			Member next = ring.get((selfIndex + distance) % ring.size());
			if (!next.node().equals(self) && !chosen.contains(next)) {
				chosen.add(next);
			}
		}
		for (int distance = 1; distance <= others && chosen.size() < count; distance++) {
			Member next = ring.get((selfIndex + distance) % ring.size());
			if (!chosen.contains(next)) {
				chosen.add(next);
			}
		}
		return chosen;
	}

	private static long ringPosition(NodeId node) {
		long mixed = (node.incarnation() ^ node.name().hashCode()) * HASH_FACTOR;
		return mixed ^ (mixed >>> HASH_SHIFT);
	}

}
