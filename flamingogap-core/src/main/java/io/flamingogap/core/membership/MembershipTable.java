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
 * Table of all entry nodes as one node knows them. A node exchanges rows with a few
 * neighbours; the order in which rows are merged doesn't matter. A node that receives a
 * row in which it is unreachable refutes it by announcing itself with a higher version.
 * <p>
 * Not thread-safe.
 */
public final class MembershipTable {

	private final NodeId self;

	private final Map<NodeId, StoredMember> rows = new LinkedHashMap<>();

	private long sequence;

	/**
	 * Create a table that holds only the row of the local node.
	 * @param local the row of the local node
	 * @param nowMillis the current time in milliseconds, from the clock that all calls of
	 * this table use
	 */
	public MembershipTable(Member local, long nowMillis) {
		this.self = Objects.requireNonNull(local, "local must not be null").node();
		store(local, nowMillis);
	}

	/**
	 * Merge a row that a neighbour sent. A row of the local node that would replace its
	 * own row is refuted: the local node announces itself with a version one higher than
	 * that of the received row.
	 * @param member the row
	 * @param nowMillis the current time in milliseconds
	 * @return {@code true} if the table changed
	 */
	public boolean merge(Member member, long nowMillis) {
		StoredMember current = this.rows.get(member.node());
		if (current != null && !member.supersedes(current.member)) {
			return false;
		}
		if (member.node().equals(this.self)) {
			return refute(member, nowMillis);
		}
		store(member, nowMillis);
		return true;
	}

	private boolean refute(Member claim, long nowMillis) {
		Member local = localMember();
		Member raised = new Member(local.node(), local.zone(), local.callerAddress(), local.nodeAddress(),
				local.state(), claim.version(), false, local.successor());
		store(raised.nextVersion(local.state(), local.successor()), nowMillis);
		return true;
	}

	/**
	 * Announce a change of the local node under the next version.
	 * @param state the new state; ignored if it is earlier than the current state
	 * @param successor the node that took over its keys; {@code null} leaves the
	 * successor as it is
	 * @param nowMillis the current time in milliseconds
	 */
	public void announce(MemberState state, @Nullable NodeId successor, long nowMillis) {
		store(localMember().nextVersion(state, successor), nowMillis);
	}

	/**
	 * Mark a node as unreachable because the connection to it was lost and could not be
	 * opened again.
	 * @param node the node; the local node and unknown nodes are ignored
	 * @param nowMillis the current time in milliseconds
	 * @return {@code true} if the table changed
	 */
	public boolean markUnreachable(NodeId node, long nowMillis) {
		StoredMember current = this.rows.get(node);
		return current != null && !node.equals(this.self) && merge(current.member.asUnreachable(), nowMillis);
	}

	/**
	 * Remove the stopped and unreachable nodes whose rows last changed in this table
	 * before a given time. The row of the local node stays.
	 * @param beforeMillis the time in milliseconds, exclusive
	 */
	public void removeUnreachableChangedBefore(long beforeMillis) {
		this.rows.values()
			.removeIf((row) -> !row.member.isReachable() && row.changedAtMillis < beforeMillis
					&& !row.member.node().equals(this.self));
	}

	private void store(Member member, long nowMillis) {
		this.sequence++;
		this.rows.put(member.node(), new StoredMember(member, this.sequence, nowMillis));
	}

	/**
	 * Return the rows that changed after a given change of this table.
	 * @param afterSequence the sequence number of that change; 0 for all rows
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
	 * Return the sequence number of the latest change of this table. Sequence numbers are
	 * local to this table and grow by one at each change.
	 * @return the sequence number
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * Return the row of the local node.
	 * @return the row
	 */
	public Member localMember() {
		return this.rows.get(this.self).member;
	}

	/**
	 * Find the row of a node.
	 * @param node the node
	 * @return the row; empty if the node isn't known
	 */
	public Optional<Member> find(NodeId node) {
		return Optional.ofNullable(this.rows.get(node)).map((row) -> row.member);
	}

	/**
	 * Return all rows, including that of the local node.
	 * @return the rows, ordered by node name and then by incarnation
	 */
	public List<Member> members() {
		List<Member> members = new ArrayList<>();
		this.rows.values().forEach((row) -> members.add(row.member));
		members.sort(Comparator.comparing((Member member) -> member.node().name())
			.thenComparingLong((member) -> member.node().incarnation()));
		return members;
	}

	/**
	 * Return the node that owns the idempotency keys of an issuer, by following the chain
	 * of successors.
	 * @param issuer the node that a key prefix names
	 * @return the last node of the chain as far as this table knows it; the issuer itself
	 * if it has no known successor
	 */
	public NodeId ownerOf(NodeId issuer) {
		NodeId owner = issuer;
		for (int hops = 0; hops <= this.rows.size(); hops++) {
			StoredMember row = this.rows.get(owner);
			if (row == null || row.member.successor() == null) {
				return owner;
			}
			owner = row.member.successor();
		}
		return owner;
	}

	private record StoredMember(Member member, long sequence, long changedAtMillis) {
	}

}
