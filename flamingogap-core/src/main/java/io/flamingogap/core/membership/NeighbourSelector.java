package io.flamingogap.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.flamingogap.core.node.NodeId;

/**
 * Choice of the nodes with which a node keeps a connection.
 */
public final class NeighbourSelector {

	private static final long MIX_FACTOR = 0x9E3779B97F4A7C15L;

	private static final int MIX_SHIFT = 32;

	private NeighbourSelector() {
	}

	/**
	 * Choose the nodes that follow a node on a ring of hashes, at distances that double.
	 * A few connections a node then reach all nodes in a number of steps that grows with
	 * the logarithm of their number, and each node is watched by as many as it watches.
	 * @param self the node
	 * @param members all rows
	 * @param fanOut the most connections to keep
	 * @return the chosen rows
	 */
	public static List<Member> choose(NodeId self, List<Member> members, int fanOut) {
		List<Member> ring = members.stream()
			.filter((member) -> member.isReachable() || member.node().equals(self))
			.sorted(Comparator.comparingLong((Member member) -> place(member.node()))
				.thenComparing((member) -> member.node().toString()))
			.toList();
		int own = ring.stream().map(Member::node).toList().indexOf(self);
		List<Member> chosen = new ArrayList<>();
		if (own < 0) {
			return chosen;
		}
		int others = ring.size() - 1;
		int wanted = Math.min(fanOut, others);
		for (int i = 0; i < wanted; i++) {
			int distance = (int) Math.round(Math.pow(ring.size(), (double) i / fanOut));
			Member next = ring.get((own + distance) % ring.size());
			if (!next.node().equals(self) && !chosen.contains(next)) {
				chosen.add(next);
			}
		}
		for (int distance = 1; distance <= others && chosen.size() < wanted; distance++) {
			Member next = ring.get((own + distance) % ring.size());
			if (!chosen.contains(next)) {
				chosen.add(next);
			}
		}
		return chosen;
	}

	private static long place(NodeId node) {
		long mixed = (node.incarnation() ^ node.name().hashCode()) * MIX_FACTOR;
		return mixed ^ (mixed >>> MIX_SHIFT);
	}

}
