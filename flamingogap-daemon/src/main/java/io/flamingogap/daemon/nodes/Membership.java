package io.flamingogap.daemon.nodes;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.membership.Member;
import io.flamingogap.core.membership.MemberState;
import io.flamingogap.core.membership.MembershipTable;
import io.flamingogap.core.membership.NeighbourSelector;
import io.flamingogap.core.node.NodeId;

/**
 * Thread-safe membership table of this node that notifies listeners of changes.
 */
public final class Membership {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long UNREACHABLE_RETENTION_MILLIS = 3_600_000;

	private final MembershipTable table;

	private final Clock clock;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	/**
	 * Create a table that holds the local node only.
	 * @param localMember the row of the local node
	 * @param clock the clock of this node
	 */
	public Membership(Member localMember, Clock clock) {
		this.table = new MembershipTable(localMember, clock.millis());
		this.clock = clock;
	}

	/**
	 * Add a listener that runs after each change, on the thread that made the change.
	 * @param listener runs without holding the lock of the table
	 */
	public void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Announce a new state of the local node.
	 * @param state the new state
	 * @param successor the node that took over its keys; {@code null} if there is none
	 */
	public void announce(MemberState state, @Nullable NodeId successor) {
		synchronized (this) {
			this.table.announce(state, successor, this.clock.millis());
		}
		notifyListeners();
	}

	/**
	 * Merge rows that a neighbour sent, and remove rows of nodes that have been
	 * unreachable for a long time.
	 * @param members rows in any order
	 */
	public void mergeAll(List<Member> members) {
		boolean changed = false;
		synchronized (this) {
			for (Member member : members) {
				boolean rowChanged = this.table.merge(member, this.clock.millis());
				changed |= rowChanged;
				if (rowChanged) {
					logger.atInfo()
						.log("member %s state=%s version=%d unreachable=%b successor=%s", member.node(), member.state(),
								member.version(), member.unreachable(), member.successor());
				}
			}
			this.table.removeUnreachableChangedBefore(this.clock.millis() - UNREACHABLE_RETENTION_MILLIS);
		}
		if (changed) {
			notifyListeners();
		}
	}

	/**
	 * Mark a node that can't be reached.
	 * @param node the node to mark
	 */
	public void markUnreachable(NodeId node) {
		boolean changed;
		synchronized (this) {
			changed = this.table.markUnreachable(node, this.clock.millis());
		}
		if (changed) {
			logger.atWarning().log("member %s is unreachable", node);
			notifyListeners();
		}
	}

	private void notifyListeners() {
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Return the rows that changed after a sequence number.
	 * @param afterSequence the sequence number of an earlier change; 0 for all rows
	 * @return the rows and the sequence number of the latest change
	 */
	synchronized Changes changesAfter(long afterSequence) {
		return new Changes(this.table.changesAfter(afterSequence), this.table.sequence());
	}

	/**
	 * Return the nodes to keep a connection to.
	 * @param fanOut the maximum number of neighbours
	 * @return the rows of the chosen neighbours
	 */
	synchronized List<Member> neighbours(int fanOut) {
		return NeighbourSelector.choose(this.table.localMember().node(), this.table.members(), fanOut);
	}

	/**
	 * Return all rows, including that of the local node.
	 * @return the rows, ordered by node name and then by incarnation
	 */
	public synchronized List<Member> members() {
		return this.table.members();
	}

	/**
	 * Return the row of the local node.
	 * @return the current row
	 */
	public synchronized Member localMember() {
		return this.table.localMember();
	}

	/**
	 * Find the row of a node.
	 * @param node the node
	 * @return the row; empty if the node isn't known
	 */
	public synchronized Optional<Member> find(NodeId node) {
		return this.table.find(node);
	}

	/**
	 * Return the node that owns the idempotency keys of an issuer.
	 * @param issuer the node that a key prefix names
	 * @return the owner as far as this node knows it; the issuer itself if it has no
	 * known successor
	 */
	public synchronized NodeId ownerOf(NodeId issuer) {
		return this.table.ownerOf(issuer);
	}

	/**
	 * Changed rows.
	 *
	 * @param members the rows, oldest change first
	 * @param sequence the sequence number of the latest change
	 */
	record Changes(List<Member> members, long sequence) {
	}

}
