package io.flamingogap.gateway.peers;

import java.util.List;
import java.util.Optional;

import io.flamingogap.gateway.store.RecordStore.Batch;
import io.flamingogap.gateway.store.RecordStore.Page;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.wire.peer.PeerRecord;
import io.flamingogap.wire.peer.PeerReply;
import io.flamingogap.wire.peer.StoreOutcome;

/**
 * Converts records and outcomes of the store to and from the messages between nodes.
 */
final class PeerCodec {

	private PeerCodec() {
	}

	static PeerReply failureReply(Throwable failure) {
		return new PeerReply(outcomeOf(StoreException.of(failure).reason()), List.of(), 0, false);
	}

	private static StoreOutcome outcomeOf(Reason reason) {
		return switch (reason) {
			case UNAVAILABLE -> StoreOutcome.UNAVAILABLE;
			case UNKNOWN -> StoreOutcome.UNKNOWN;
			case DROPPED -> StoreOutcome.DROPPED;
			case SHORTENED -> StoreOutcome.SHORTENED;
			case CONFLICT -> StoreOutcome.CONFLICT;
		};
	}

	static Reason reasonOf(StoreOutcome outcome) {
		return switch (outcome) {
			case UNAVAILABLE -> Reason.UNAVAILABLE;
			case DROPPED -> Reason.DROPPED;
			case SHORTENED -> Reason.SHORTENED;
			case CONFLICT -> Reason.CONFLICT;
			case DONE, UNKNOWN -> Reason.UNKNOWN;
		};
	}

	static List<PeerRecord> toPeerRecords(List<StoredRecord> records) {
		return records.stream().map((entry) -> {
			PeerRecord peerRecord = new PeerRecord(entry.key(), entry.offset());
			entry.value().ifPresent(peerRecord::setContent);
			return peerRecord;
		}).toList();
	}

	static Batch toBatch(PeerReply reply, boolean fromZoneRelay) {
		return new Batch(toStoredRecords(reply), reply.getPosition(), fromZoneRelay, reply.getAgeMillis(),
				reply.getTimeline());
	}

	static Page toPage(PeerReply reply) {
		return new Page(toStoredRecords(reply), reply.isHasMore(), reply.getPosition(), reply.getTimeline());
	}

	static List<StoredRecord> toStoredRecords(PeerReply reply) {
		return reply.getEntries()
			.stream()
			.map((peerRecord) -> new StoredRecord(peerRecord.getKey(),
					peerRecord.isSetContent() ? Optional.of(peerRecord.getContent()) : Optional.empty(),
					peerRecord.getPosition()))
			.toList();
	}

}
