package io.flamingogap.core.membership;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;

/**
 * A row of the membership table.
 *
 * @param node the node run
 * @param zone the availability zone
 * @param callerAddress where callers connect
 * @param nodeAddress where other entry nodes connect
 * @param state what the node says of its life
 * @param version raised by the node itself at each change
 * @param unreachable whether a neighbour lost its connection to this version of the node
 * @param successor the node that its keys passed to, if any
 */
public record Member(NodeId node, String zone, Address callerAddress, Address nodeAddress, MemberState state,
		long version, boolean unreachable, @Nullable NodeId successor) {

	public Member {
		Objects.requireNonNull(node, "node must not be null");
		Objects.requireNonNull(zone, "zone must not be null");
		Objects.requireNonNull(callerAddress, "callerAddress must not be null");
		Objects.requireNonNull(nodeAddress, "nodeAddress must not be null");
		Objects.requireNonNull(state, "state must not be null");
	}

	/**
	 * Return whether the node can be given to callers.
	 * @return {@code true} if it serves and its neighbours hear it
	 */
	public boolean isServing() {
		return this.state == MemberState.SERVING && !this.unreachable;
	}

	/**
	 * Return whether the node can be talked to.
	 * @return {@code true} if it has not stopped and its neighbours hear it
	 */
	public boolean isReachable() {
		return this.state != MemberState.GONE && !this.unreachable;
	}

	/**
	 * Return whether this row is news to a holder of another row of the same node. The
	 * relation is a total order, so that all nodes end with the same row.
	 * @param held the row held so far
	 * @return {@code true} if this row replaces it
	 */
	boolean supersedes(Member held) {
		if (this.version != held.version) {
			return this.version > held.version;
		}
		return this.unreachable && !held.unreachable;
	}

	/**
	 * Return the row as its node announces a change.
	 * @param newState the new state
	 * @param newSuccessor the node that its keys passed to, if any
	 * @return a row with a higher version
	 */
	Member announce(MemberState newState, @Nullable NodeId newSuccessor) {
		MemberState later = (newState.compareTo(this.state) > 0) ? newState : this.state;
		return new Member(this.node, this.zone, this.callerAddress, this.nodeAddress, later, this.version + 1, false,
				(newSuccessor != null) ? newSuccessor : this.successor);
	}

	/**
	 * Return the row as a neighbour reports a lost connection.
	 * @return the unreachable row of the same version
	 */
	Member lost() {
		return new Member(this.node, this.zone, this.callerAddress, this.nodeAddress, this.state, this.version, true,
				this.successor);
	}

}
