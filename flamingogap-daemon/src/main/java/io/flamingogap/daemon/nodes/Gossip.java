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
 * Creates and applies the content of heartbeats: changes of the membership table, rollout
 * evidence and take-backs. One instance is shared by several connections.
 */
final class Gossip {

	/** Limits the size of a heartbeat. Remaining rows are sent with the next one. */
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
	 * Return the changes that one side of a connection has not sent yet.
	 * @param position the position up to which it has sent changes
	 * @return the changes and the position after them
	 */
	Payload payloadAfter(SyncPosition position) {
		Membership.Changes members = this.membership.changesAfter(position.memberSequence());
		EvidenceTable.Page evidence = this.rollouts.evidenceChangedAfter(position.evidenceSequence(),
				MAX_EVIDENCE_ROWS);
		return new Payload(WireCodec.toWire(members.members()), WireCodec.evidenceToWire(evidence.rows()),
				WireCodec.takeBacksToWire(this.rollouts.takeBacks()),
				new SyncPosition(members.sequence(), evidence.sequence()));
	}

	Heartbeat heartbeat(long sequence, Payload payload) {
		return new Heartbeat(sequence, configHead(), payload.members(), payload.evidence(), payload.takeBacks());
	}

	HeartbeatReply reply(long sequence, Payload payload) {
		return new HeartbeatReply(sequence, configHead(), payload.members(), payload.evidence(), payload.takeBacks());
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
	 * Position up to which one side of a connection has sent changes.
	 *
	 * @param memberSequence the sequence number of the last sent change of the membership
	 * table; 0 for none
	 * @param evidenceSequence the sequence number of the last sent row of evidence; 0 for
	 * none
	 */
	record SyncPosition(long memberSequence, long evidenceSequence) {

		static final SyncPosition START = new SyncPosition(0, 0);

	}

	/**
	 * Content of a heartbeat or of a reply to one.
	 *
	 * @param members the changed rows of the membership table
	 * @param evidence the changed rows of evidence
	 * @param takeBacks all known take-backs
	 * @param position the position after these changes
	 */
	record Payload(List<Member> members, List<EvidenceRow> evidence, List<TakeBack> takeBacks, SyncPosition position) {
	}

}
