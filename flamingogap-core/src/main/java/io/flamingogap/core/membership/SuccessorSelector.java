package io.flamingogap.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.flamingogap.core.node.NodeId;

/**
 * Choice of the node that takes over the requests of a stopping node.
 */
public final class SuccessorSelector {

	private SuccessorSelector() {
	}

	/**
	 * Choose a successor: a serving node, in another zone where there is one, since a
	 * zone is reclaimed as a whole. Different nodes prefer different successors.
	 * @param own the row of the stopping node
	 * @param members the membership table
	 * @param tried the nodes that could not be reached
	 * @return the successor, if a node serves
	 */
	public static Optional<Member> choose(Member own, List<Member> members, Set<NodeId> tried) {
		return members.stream()
			.filter((member) -> member.isServing() && !member.node().equals(own.node()))
			.filter((member) -> !tried.contains(member.node()))
			.min(Comparator.comparing((Member member) -> member.zone().equals(own.zone()))
				.thenComparingInt((member) -> preference(own, member)));
	}

	private static int preference(Member own, Member candidate) {
		return (own.node().toString() + candidate.node()).hashCode();
	}

}
