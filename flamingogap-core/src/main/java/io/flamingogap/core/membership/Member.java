package io.flamingogap.core.membership;

import java.util.Objects;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;

/**
 * State of one entry node as it is gossiped between nodes. Immutable: each change creates
 * a new row.
 *
 * @param node the node and its incarnation
 * @param zone the name of its availability zone
 * @param callerAddress the address at which it accepts connections of callers
 * @param nodeAddress the address at which it accepts connections of other entry nodes
 * @param state the lifecycle state that the node last announced
 * @param version the version of the row; only the node itself raises it, at each change
 * @param unreachable whether a neighbour lost its connection to the node at this version
 * @param successor the node that took over its keys; {@code null} if none has
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
	 * Return whether callers may be sent to the node.
	 * @return {@code true} if its state is {@link MemberState#SERVING} and no neighbour
	 * reports it as unreachable
	 */
	public boolean isServing() {
		return this.state == MemberState.SERVING && !this.unreachable;
	}

	/**
	 * Return whether other nodes can connect to the node.
	 * @return {@code true} if it has not stopped and no neighbour reports it as
	 * unreachable
	 */
	public boolean isReachable() {
		return this.state != MemberState.GONE && !this.unreachable;
	}

	/**
	 * Return whether this row replaces another row of the same node. A higher version
	 * wins; at the same version, unreachable wins. Only the node itself writes a version,
	 * so rows of one version differ only in whether they are unreachable, and all nodes
	 * converge on the same row, in whatever order they receive rows.
	 * @param current the row known so far
	 * @return {@code true} if this row replaces it
	 */
	boolean supersedes(Member current) {
		if (this.version != current.version) {
			return this.version > current.version;
		}
		return this.unreachable && !current.unreachable;
	}

	/**
	 * Return the next version of the row, as the node itself announces it. The version is
	 * one higher and the row is reachable.
	 * @param newState the new state; ignored if it is earlier than the current state
	 * @param newSuccessor the node that took over its keys; {@code null} leaves the
	 * successor as it is
	 * @return the row with the next version
	 */
	Member nextVersion(MemberState newState, @Nullable NodeId newSuccessor) {
		MemberState latest = (newState.compareTo(this.state) > 0) ? newState : this.state;
		return new Member(this.node, this.zone, this.callerAddress, this.nodeAddress, latest, this.version + 1, false,
				(newSuccessor != null) ? newSuccessor : this.successor);
	}

	/**
	 * Return the row that a neighbour reports after it lost its connection to the node.
	 * @return the same row and version, marked as unreachable
	 */
	Member asUnreachable() {
		return new Member(this.node, this.zone, this.callerAddress, this.nodeAddress, this.state, this.version, true,
				this.successor);
	}

}
