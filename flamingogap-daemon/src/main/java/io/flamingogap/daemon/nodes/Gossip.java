package io.flamingogap.daemon.nodes;

import java.util.List;

import io.flamingogap.core.rollout.EvidenceTable;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.wire.EvidenceRow;
import io.flamingogap.wire.Heartbeat;
import io.flamingogap.wire.HeartbeatReply;
import io.flamingogap.wire.Member;
import io.flamingogap.wire.TakeBack;

/**
 * What a node exchanges with its neighbours, shared by all connections.
 */
final class Gossip {

	/** Bounds the size of a heartbeat; the remaining rows go with the next one. */
	private static final int MAX_EVIDENCE_ROWS = 64;

	private final Membership membership;

	private final Configuration configuration;

	private final Rollouts rollouts;

	Gossip(Membership membership, Configuration configuration, Rollouts rollouts) {
		this.membership = membership;
		this.configuration = configuration;
		this.rollouts = rollouts;
	}

	/**
	 * Return what one end of a connection has not sent yet.
	 * @param sent what it has sent
	 * @return the news
	 */
	News newsAfter(Sent sent) {
		Membership.Changes members = this.membership.changesAfter(sent.members());
		EvidenceTable.Page evidence = this.rollouts.evidenceChangedAfter(sent.evidence(), MAX_EVIDENCE_ROWS);
		return new News(WireCodec.toWire(members.members()), WireCodec.evidenceToWire(evidence.rows()),
				WireCodec.takeBacksToWire(this.rollouts.takeBacks()),
				new Sent(members.sequence(), evidence.sequence()));
	}

	Heartbeat heartbeat(long sequence, News news) {
		return new Heartbeat(sequence, configHead(), news.members(), news.evidence(), news.takeBacks());
	}

	HeartbeatReply reply(long sequence, News news) {
		return new HeartbeatReply(sequence, configHead(), news.members(), news.evidence(), news.takeBacks());
	}

	private long configHead() {
		return this.configuration.state().headOffset();
	}

	void receive(Heartbeat heartbeat) {
		merge(heartbeat.getChanges(), heartbeat.getEvidence(), heartbeat.getTakeBacks());
	}

	void receive(HeartbeatReply reply) {
		merge(reply.getChanges(), reply.getEvidence(), reply.getTakeBacks());
	}

	private void merge(List<Member> members, List<EvidenceRow> evidence, List<TakeBack> takeBacks) {
		this.rollouts.recordContact();
		this.membership.mergeAll(WireCodec.fromWire(members));
		this.rollouts.mergeEvidence(WireCodec.evidenceFromWire(evidence));
		WireCodec.takeBacksFromWire(takeBacks).forEach(this.rollouts::takeBack);
	}

	/**
	 * How much one end of a connection has sent.
	 *
	 * @param members the sequence number of the last sent row of the membership table
	 * @param evidence the sequence number of the last sent row of evidence
	 */
	record Sent(long members, long evidence) {

		static final Sent NOTHING = new Sent(0, 0);

	}

	/**
	 * What goes into one heartbeat or reply.
	 *
	 * @param members rows of the membership table
	 * @param evidence rows of evidence
	 * @param takeBacks the known take-backs
	 * @param sent what will have been sent
	 */
	record News(List<Member> members, List<EvidenceRow> evidence, List<TakeBack> takeBacks, Sent sent) {
	}

}
