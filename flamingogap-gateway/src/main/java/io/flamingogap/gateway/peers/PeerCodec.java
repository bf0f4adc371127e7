package io.flamingogap.gateway.peers;

import java.util.List;
import java.util.Optional;

import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.wire.peer.PeerRecord;
import io.flamingogap.wire.peer.PeerReply;
import io.flamingogap.wire.peer.StoreOutcome;

/**
 * Records and outcomes as nodes exchange them.
 */
final class PeerCodec {

	private PeerCodec() {
	}

	static PeerReply failed(Throwable failure) {
		return new PeerReply(outcomeOf(StoreException.of(failure).reason()), List.of(), 0, false);
	}

	private static StoreOutcome outcomeOf(Reason reason) {
		return switch (reason) {
			case UNAVAILABLE -> StoreOutcome.UNAVAILABLE;
			case UNKNOWN -> StoreOutcome.UNKNOWN;
			case DROPPED -> StoreOutcome.DROPPED;
			case CONFLICT -> StoreOutcome.CONFLICT;
		};
	}

	static Reason reasonOf(StoreOutcome outcome) {
		return switch (outcome) {
			case UNAVAILABLE -> Reason.UNAVAILABLE;
			case DROPPED -> Reason.DROPPED;
			case CONFLICT -> Reason.CONFLICT;
			case DONE, UNKNOWN -> Reason.UNKNOWN;
		};
	}

	static List<PeerRecord> write(List<StoredRecord> records) {
		return records.stream().map((entry) -> {
			PeerRecord wire = new PeerRecord(entry.key(), entry.offset());
			entry.value().ifPresent(wire::setContent);
			return wire;
		}).toList();
	}

	static List<StoredRecord> read(PeerReply reply) {
		return reply.getEntries()
			.stream()
			.map((wire) -> new StoredRecord(wire.getKey(),
					wire.isSetContent() ? Optional.of(wire.getContent()) : Optional.empty(), wire.getPosition()))
			.toList();
	}

}
