package io.flamingogap.gateway.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import org.apache.thrift.TException;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.http.HttpCaller;
import io.flamingogap.gateway.http.HttpReply;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.wire.peer.PeerCall;
import io.flamingogap.wire.peer.PeerReply;
import io.flamingogap.wire.peer.StoreOutcome;

/**
 * Calls that this node makes of other nodes. Used on the event loop only.
 */
public final class PeerStoreClient {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The bound on a call, besides the time that the other node may hold it. */
	private static final long TIMEOUT_MILLIS = 700;

	private final EventLoop loop;

	private final Map<Address, HttpCaller> callers = new HashMap<>();

	/**
	 * Create a caller.
	 * @param loop the event loop
	 */
	public PeerStoreClient(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Make a call.
	 * @param peer the node
	 * @param call the call
	 * @return the answer, or a {@link StoreException}
	 */
	CompletableFuture<PeerReply> call(Address peer, PeerCall call) {
		CompletableFuture<PeerReply> result = new CompletableFuture<>();
		this.callers.computeIfAbsent(peer, (address) -> new HttpCaller(this.loop, address))
			.call(HttpMethod.POST, "/store", Map.of(), ThriftBytes.write(call), call.getWaitMillis() + TIMEOUT_MILLIS)
			.whenComplete((reply, failure) -> {
				try {
					result.complete(readDone(peer, reply, failure));
				}
				catch (StoreException ex) {
					result.completeExceptionally(ex);
				}
			});
		return result;
	}

	private static PeerReply readDone(Address peer, HttpReply reply, Throwable failure) {
		if (failure != null) {
			throw new StoreException(Reason.UNKNOWN, "through " + peer + ": " + failure.getMessage());
		}
		PeerReply answer = read(peer, reply);
		if (answer.getOutcome() != StoreOutcome.DONE) {
			throw new StoreException(PeerCodec.reasonOf(answer.getOutcome()),
					"through " + peer + ": " + answer.getOutcome());
		}
		return answer;
	}

	private static PeerReply read(Address peer, HttpReply reply) {
		try {
			return ThriftBytes.read(reply.body(), new PeerReply());
		}
		catch (TException ex) {
			logger.atWarning()
				.log("%s",
						LogLine.of("peer answered with status")
							.with("peer", peer.toString())
							.with("status", reply.status()));
			throw new StoreException(Reason.UNKNOWN, "through " + peer + ": unreadable answer");
		}
	}

}
