package io.flamingogap.gateway.peers;

import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import org.apache.thrift.TException;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.http.HttpCallResponse;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.wire.peer.PeerCall;
import io.flamingogap.wire.peer.PeerReply;
import io.flamingogap.wire.peer.StoreCall;
import io.flamingogap.wire.peer.StoreOutcome;

/**
 * Sends store calls to other nodes, which make them in place of this one. Calls and
 * replies show the store's timeline, so that a node learns of the store's return from the
 * first of its peers that knows of it. Used on the event loop only.
 */
public final class PeerStoreClient {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The time allowed for a call in addition to the time that the other node may wait
	 * for a record.
	 */
	private static final long TIMEOUT_MARGIN_MILLIS = 700;

	private final PeerTransport transport;

	private final KnownTimeline knownTimeline;

	/**
	 * Create a client.
	 * @param transport sends the calls
	 * @param knownTimeline the newest timeline that this node knows of
	 */
	PeerStoreClient(PeerTransport transport, KnownTimeline knownTimeline) {
		this.transport = transport;
		this.knownTimeline = knownTimeline;
	}

	/**
	 * Send a call.
	 * @param peer the address of the other node
	 * @param call the call
	 * @return the reply; completes with a {@link StoreException} unless the outcome is
	 * {@link StoreOutcome#DONE}
	 */
	CompletableFuture<PeerReply> call(Address peer, PeerCall call) {
		CompletableFuture<PeerReply> result = new CompletableFuture<>();
		call.setTimeline(this.knownTimeline.number());
		this.transport.send(peer, ThriftSerializer.serialize(call), call.getWaitMillis() + TIMEOUT_MARGIN_MILLIS)
			.whenComplete((reply, failure) -> {
				try {
					result.complete(requireDone(peer, call, reply, failure));
				}
				catch (StoreException ex) {
					result.completeExceptionally(ex);
				}
			});
		return result;
	}

	private PeerReply requireDone(Address peer, PeerCall call, HttpCallResponse reply, Throwable failure) {
		if (failure != null) {
			throw new StoreException(Reason.UNKNOWN, "call through node " + peer + ": " + failure.getMessage());
		}
		PeerReply storeReply = decode(peer, reply);
		this.knownTimeline.learn(storeReply.getTimeline());
		if (storeReply.getOutcome() != StoreOutcome.DONE) {
			throw new StoreException(PeerCodec.reasonOf(storeReply.getOutcome()),
					"call through node " + peer + ": " + storeReply.getOutcome());
		}
		if (storeReply.getTimeline() != this.knownTimeline.number()) {
			// What was appended may be lost.
			throw new StoreException((call.getCall() == StoreCall.APPEND) ? Reason.UNKNOWN : Reason.UNAVAILABLE,
					"call through node " + peer + ": answered in timeline " + storeReply.getTimeline()
							+ " while the known one is " + this.knownTimeline.number());
		}
		return storeReply;
	}

	private static PeerReply decode(Address peer, HttpCallResponse reply) {
		try {
			return ThriftSerializer.deserialize(reply.body(), new PeerReply());
		}
		catch (TException ex) {
			logger.atWarning()
				.log("%s",
						LogLine.of("peer answered with status")
							.with("peer", peer.toString())
							.with("status", reply.status()));
			throw new StoreException(Reason.UNKNOWN,
					"call through node " + peer + ": unreadable answer with status " + reply.status() + ": " + ex);
		}
	}

}
