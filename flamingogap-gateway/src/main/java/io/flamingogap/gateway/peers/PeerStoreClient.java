package io.flamingogap.gateway.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import org.apache.thrift.TException;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.http.HttpCallResponse;
import io.flamingogap.gateway.http.PooledHttpClient;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.wire.peer.PeerCall;
import io.flamingogap.wire.peer.PeerReply;
import io.flamingogap.wire.peer.StoreOutcome;

/**
 * Sends store calls to other nodes, which make them in place of this one. Used on the
 * event loop only.
 */
public final class PeerStoreClient {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The time allowed for a call in addition to the time that the other node may wait
	 * for a record.
	 */
	private static final long TIMEOUT_MARGIN_MILLIS = 700;

	private final EventLoop loop;

	private final Map<Address, PooledHttpClient> clients = new HashMap<>();

	/**
	 * Create a client without connections.
	 * @param loop the event loop
	 */
	public PeerStoreClient(EventLoop loop) {
		this.loop = loop;
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
		this.clients.computeIfAbsent(peer, (address) -> new PooledHttpClient(this.loop, address))
			.call(HttpMethod.POST, "/store", Map.of(), ThriftSerializer.serialize(call),
					call.getWaitMillis() + TIMEOUT_MARGIN_MILLIS)
			.whenComplete((reply, failure) -> {
				try {
					result.complete(requireDone(peer, reply, failure));
				}
				catch (StoreException ex) {
					result.completeExceptionally(ex);
				}
			});
		return result;
	}

	private static PeerReply requireDone(Address peer, HttpCallResponse reply, Throwable failure) {
		if (failure != null) {
			throw new StoreException(Reason.UNKNOWN, "call through node " + peer + ": " + failure.getMessage());
		}
		PeerReply storeReply = decode(peer, reply);
		if (storeReply.getOutcome() != StoreOutcome.DONE) {
			throw new StoreException(PeerCodec.reasonOf(storeReply.getOutcome()),
					"call through node " + peer + ": " + storeReply.getOutcome());
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
