package io.flamingogap.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.NodeId;

/**
 * The table of entry nodes as one node knows it. Rows are exchanged with a few neighbours
 * and merge in any order; a node that finds itself called unreachable announces itself
 * again under a higher version.
 * <p>
 * Not safe for use by several threads.
 */
public final class MembershipTable {

	private final NodeId self;

	private final Map<NodeId, Row> rows = new LinkedHashMap<>();

	private long sequence;

	/**
	 * Create a table with the row of its own node.
	 * @param own the row of the node itself
	 * @param nowMillis the present time
	 */
	public MembershipTable(Member own, long nowMillis) {
		this.self = Objects.requireNonNull(own, "own must not be null").node();
		store(own, nowMillis);
	}

	/**
	 * Merge a row that a neighbour sent.
	 * @param member the row
	 * @param nowMillis the present time
	 * @return {@code true} if the table changed
	 */
	public boolean merge(Member member, long nowMillis) {
		Row held = this.rows.get(member.node());
		if (held != null && !member.supersedes(held.member)) {
			return false;
		}
		if (member.node().equals(this.self)) {
			return refute(member, nowMillis);
		}
		store(member, nowMillis);
		return true;
	}

	private boolean refute(Member claim, long nowMillis) {
		Member own = localMember();
		Member raised = new Member(own.node(), own.zone(), own.callerAddress(), own.nodeAddress(), own.state(),
				claim.version(), false, own.successor());
		store(raised.announce(own.state(), own.successor()), nowMillis);
		return true;
	}

	/**
	 * Announce a change of the node itself.
	 * @param state the new state; an earlier one than the present is ignored
	 * @param successor the node that its keys passed to, if any
	 * @param nowMillis the present time
	 */
	public void announce(MemberState state, @Nullable NodeId successor, long nowMillis) {
		store(localMember().announce(state, successor), nowMillis);
	}

	/**
	 * Report that the connection to a node was lost and could not be opened again.
	 * @param node the node
	 * @param nowMillis the present time
	 * @return {@code true} if the table changed
	 */
	public boolean markUnreachable(NodeId node, long nowMillis) {
		Row held = this.rows.get(node);
		return held != null && !node.equals(this.self) && merge(held.member.lost(), nowMillis);
	}

	/**
	 * Forget nodes that have been gone or unreachable for a time.
	 * @param silentSinceMillis the latest change of a row that is forgotten
	 */
	public void removeUnreachableSince(long silentSinceMillis) {
		this.rows.values()
			.removeIf((row) -> !row.member.isReachable() && row.changedAtMillis < silentSinceMillis
					&& !row.member.node().equals(this.self));
	}

	private void store(Member member, long nowMillis) {
		this.sequence++;
		this.rows.put(member.node(), new Row(member, this.sequence, nowMillis));
	}

	/**
	 * Return the rows that changed after a sequence number of this table.
	 * @param afterSequence the sequence number
	 * @return the rows, oldest change first
	 */
	public List<Member> changesAfter(long afterSequence) {
		return this.rows.values()
			.stream()
			.filter((row) -> row.sequence > afterSequence)
			.sorted(Comparator.comparingLong((row) -> row.sequence))
			.map((row) -> row.member)
			.toList();
	}

	/**
	 * Return the number of the latest change of this table.
	 * @return the sequence number
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * Return the row of the node itself.
	 * @return the row
	 */
	public Member localMember() {
		return this.rows.get(this.self).member;
	}

	/**
	 * Find a row.
	 * @param node the node
	 * @return the row, if the node is known
	 */
	public Optional<Member> find(NodeId node) {
		return Optional.ofNullable(this.rows.get(node)).map((row) -> row.member);
	}

	/**
	 * Return all rows.
	 * @return the rows, ordered by node name
	 */
	public List<Member> members() {
		List<Member> members = new ArrayList<>();
		this.rows.values().forEach((row) -> members.add(row.member));
		members.sort(Comparator.comparing((Member member) -> member.node().name())
			.thenComparingLong((member) -> member.node().incarnation()));
		return members;
	}

	/**
	 * Follow the chain of successors of an issuer's keys.
	 * @param issuer the node run that a prefix names
	 * @return the node that owns the keys, as far as this table knows
	 */
	public NodeId ownerOf(NodeId issuer) {
		NodeId owner = issuer;
		for (int hops = 0; hops <= this.rows.size(); hops++) {
			Row row = this.rows.get(owner);
			if (row == null || row.member.successor() == null) {
				return owner;
			}
			owner = row.member.successor();
		}
		return owner;
	}

	private record Row(Member member, long sequence, long changedAtMillis) {
	}

}
