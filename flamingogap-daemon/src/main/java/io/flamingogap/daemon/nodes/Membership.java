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
 * The membership table of this node, shared by its threads.
 */
public final class Membership {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long FORGET_SILENT_MILLIS = 3_600_000;

	private final MembershipTable table;

	private final Clock clock;

	private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

	/**
	 * Create the table.
	 * @param own the row of this node
	 * @param clock tells the present time
	 */
	public Membership(Member own, Clock clock) {
		this.table = new MembershipTable(own, clock.millis());
		this.clock = clock;
	}

	/**
	 * Have a listener run after each change.
	 * @param listener the listener
	 */
	public void addListener(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Announce a change of this node.
	 * @param state the new state
	 * @param successor the node that its keys passed to, if any
	 */
	public void announce(MemberState state, @Nullable NodeId successor) {
		synchronized (this) {
			this.table.announce(state, successor, this.clock.millis());
		}
		tellListeners();
	}

	/**
	 * Merge rows that a neighbour sent.
	 * @param members the rows
	 */
	public void mergeAll(List<Member> members) {
		boolean changed = false;
		synchronized (this) {
			for (Member member : members) {
				boolean news = this.table.merge(member, this.clock.millis());
				changed |= news;
				if (news) {
					logger.atInfo()
						.log("member %s state=%s version=%d unreachable=%b successor=%s", member.node(), member.state(),
								member.version(), member.unreachable(), member.successor());
				}
			}
			this.table.removeUnreachableChangedBefore(this.clock.millis() - FORGET_SILENT_MILLIS);
		}
		if (changed) {
			tellListeners();
		}
	}

	/**
	 * Report that a node can't be reached.
	 * @param node the node
	 */
	public void reportLost(NodeId node) {
		boolean changed;
		synchronized (this) {
			changed = this.table.markUnreachable(node, this.clock.millis());
		}
		if (changed) {
			logger.atWarning().log("member %s is unreachable", node);
			tellListeners();
		}
	}

	private void tellListeners() {
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * Return the rows that changed after a sequence number.
	 * @param afterSequence the sequence number
	 * @return the rows and the number of the latest change
	 */
	synchronized Changes changesAfter(long afterSequence) {
		return new Changes(this.table.changesAfter(afterSequence), this.table.sequence());
	}

	/**
	 * Return the nodes to keep a connection with.
	 * @param fanOut the most connections
	 * @return the chosen rows
	 */
	synchronized List<Member> neighbours(int fanOut) {
		return NeighbourSelector.choose(this.table.localMember().node(), this.table.members(), fanOut);
	}

	/**
	 * Return all rows.
	 * @return the rows
	 */
	public synchronized List<Member> members() {
		return this.table.members();
	}

	/**
	 * Return the row of this node.
	 * @return the row
	 */
	public synchronized Member localMember() {
		return this.table.localMember();
	}

	/**
	 * Find a row.
	 * @param node the node
	 * @return the row, if the node is known
	 */
	public synchronized Optional<Member> find(NodeId node) {
		return this.table.find(node);
	}

	/**
	 * Return the node that owns an issuer's keys.
	 * @param issuer the node run that a prefix names
	 * @return the owner, as far as this node knows
	 */
	public synchronized NodeId ownerOf(NodeId issuer) {
		return this.table.ownerOf(issuer);
	}

	/**
	 * Rows that changed.
	 *
	 * @param members the rows, oldest change first
	 * @param sequence the number of the latest change
	 */
	record Changes(List<Member> members, long sequence) {
	}

}
