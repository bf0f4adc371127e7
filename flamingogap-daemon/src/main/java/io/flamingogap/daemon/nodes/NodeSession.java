package io.flamingogap.daemon.nodes;

import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.CommitResult;
import io.flamingogap.core.request.LedgerEntry;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.core.text.Digests;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.wire.Answer;
import io.flamingogap.wire.CommitReply;
import io.flamingogap.wire.ConfigRecord;
import io.flamingogap.wire.Heartbeat;
import io.flamingogap.wire.HeartbeatReply;
import io.flamingogap.wire.KeySpacePart;
import io.flamingogap.wire.KeyStatus;
import io.flamingogap.wire.KeyedRequest;
import io.flamingogap.wire.NodeFault;
import io.flamingogap.wire.NodeRef;
import io.flamingogap.wire.NodeService;
import io.flamingogap.wire.Proof;

/**
 * Server side of a connection from another entry node. Until the peer has proven that it
 * knows the shared secret, every call but those of the authentication is refused.
 */
final class NodeSession implements NodeService.Iface {

	private static final int NONCE_BYTES = 32;

	private static final int MAX_RECORDS_PER_CALL = 500;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final String sharedSecret;

	private final NodeId self;

	private final Gossip gossip;

	private final Configuration configuration;

	private final PeerRequestHandler requests;

	private final Clock clock;

	private byte[] nonce = new byte[0];

	private @Nullable NodeId peer;

	private Gossip.SyncPosition position = Gossip.SyncPosition.START;

	NodeSession(String sharedSecret, NodeId self, Gossip gossip, Configuration configuration,
			PeerRequestHandler requests, Clock clock) {
		this.sharedSecret = sharedSecret;
		this.self = self;
		this.gossip = gossip;
		this.configuration = configuration;
		this.requests = requests;
		this.clock = clock;
	}

	@Override
	public ByteBuffer challenge() {
		this.nonce = new byte[NONCE_BYTES];
		RANDOM.nextBytes(this.nonce);
		return ByteBuffer.wrap(this.nonce);
	}

	@Override
	public NodeRef authenticate(Proof proof) throws NodeFault {
		NodeId claimedPeer = WireCodec.fromWire(proof.getNode());
		byte[] expected = SharedSecretProof.computeMac(this.sharedSecret, this.nonce, claimedPeer);
		boolean authenticated = this.nonce.length == NONCE_BYTES
				&& Digests.constantTimeEquals(expected, proof.getMac());
		this.nonce = new byte[0];
		if (!authenticated) {
			throw new NodeFault("authenticate", claimedPeer.toString(), "the shared secret is not proven");
		}
		this.peer = claimedPeer;
		return WireCodec.toWire(this.self);
	}

	private void requireAuthenticated(String step) throws NodeFault {
		if (this.peer == null) {
			throw new NodeFault(step, "unknown", "the connection has not proven the shared secret");
		}
	}

	@Override
	public HeartbeatReply heartbeat(Heartbeat heartbeat) throws NodeFault {
		requireAuthenticated("heartbeat");
		this.gossip.receive(heartbeat);
		Gossip.Payload payload = this.gossip.payloadAfter(this.position);
		this.position = payload.position();
		return this.gossip.reply(heartbeat.getSequence(), payload);
	}

	@Override
	public List<ConfigRecord> configRecords(long firstOffset, int limit) throws NodeFault {
		requireAuthenticated("read");
		return this.configuration.recordsFrom(firstOffset, Math.min(limit, MAX_RECORDS_PER_CALL))
			.stream()
			.map((logRecord) -> new ConfigRecord(logRecord.offset(), logRecord.body()))
			.toList();
	}

	@Override
	public Answer forward(KeyedRequest request) throws NodeFault {
		requireAuthenticated("forward");
		return WireCodec.toWire(this.requests.answerForwarded(WireCodec.fromWire(request, this.clock.millis())));
	}

	@Override
	public KeyStatus keyStatus(String key, String account) throws NodeFault {
		requireAuthenticated("read");
		Optional<LedgerEntry> entry = RequestKey.parse(key)
			.toJavaOptional()
			.flatMap((parsed) -> this.requests.find(parsed, account));
		if (entry.isEmpty()) {
			return new KeyStatus("ABSENT");
		}
		KeyStatus status = new KeyStatus(entry.get().state().name());
		Optional.ofNullable(entry.get().answer()).ifPresent((answer) -> status.setAnswer(WireCodec.toWire(answer)));
		return status;
	}

	@Override
	public void offer(NodeRef sender, List<KeySpacePart> parts) throws NodeFault {
		requireAuthenticated("offer");
		this.requests.receiveOffer(WireCodec.partsFromWire(parts, this.clock.millis()));
	}

	@Override
	public CommitReply commit(NodeRef sender, List<KeySpacePart> parts) throws NodeFault {
		requireAuthenticated("commit");
		CommitResult result = this.requests.receiveCommit(WireCodec.partsFromWire(parts, this.clock.millis()));
		if (result instanceof CommitResult.Taken) {
			return CommitReply.TAKEN;
		}
		return (result instanceof CommitResult.Incomplete) ? CommitReply.INCOMPLETE : CommitReply.REFUSED;
	}

	@Override
	public void outcomes(NodeRef sender, List<KeySpacePart> parts) throws NodeFault {
		requireAuthenticated("outcomes");
		this.requests.receiveOutcomes(WireCodec.partsFromWire(parts, this.clock.millis()));
	}

}
