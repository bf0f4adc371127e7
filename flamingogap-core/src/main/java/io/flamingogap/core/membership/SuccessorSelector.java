package io.flamingogap.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.flamingogap.core.node.NodeId;

/**
 * Selects the node that takes over the requests of a stopping node.
 */
public final class SuccessorSelector {

	private SuccessorSelector() {
	}

	/**
	 * Choose a successor among the serving nodes. A node of another zone is preferred,
	 * because the instances of a zone are reclaimed together. Among equals the choice
	 * depends on a hash of both nodes, so that stopping nodes spread over different
	 * successors.
	 * @param stopping the row of the stopping node
	 * @param members all rows of the membership table
	 * @param unreachable the nodes that could not be reached and are left out
	 * @return the successor; empty if no other node serves
	 */
	public static Optional<Member> choose(Member stopping, List<Member> members, Set<NodeId> unreachable) {
		return members.stream()
			.filter((member) -> member.isServing() && !member.node().equals(stopping.node()))
			.filter((member) -> !unreachable.contains(member.node()))
			// false sorts before true, so nodes of other zones come first.
			.min(Comparator.comparing((Member member) -> member.zone().equals(stopping.zone()))
				.thenComparingInt((member) -> tieBreaker(stopping, member)));
	}

	private static int tieBreaker(Member stopping, Member candidate) {
		return (stopping.node().toString() + candidate.node()).hashCode();
	}

}
