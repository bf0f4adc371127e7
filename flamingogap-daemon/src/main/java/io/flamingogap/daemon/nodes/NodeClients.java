package io.flamingogap.daemon.nodes;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingDeque;

import io.vavr.control.Either;
import org.apache.thrift.TException;
import org.apache.thrift.transport.TTransportException;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.membership.Member;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.KeySpacePart;
import io.flamingogap.core.request.KeySpacePartSplitter;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.wire.CommitReply;
import io.flamingogap.wire.KeyStatus;
import io.flamingogap.wire.NodeFault;
import io.flamingogap.wire.NodeService;

/**
 * Client of other entry nodes with a small connection pool for each. A call may be sent
 * twice if a pooled connection breaks; this is safe because every call is idempotent at
 * the peer.
 */
public final class NodeClients {

	private static final int MAX_IDLE_CONNECTIONS = 8;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final long REPLY_MARGIN_MILLIS = 500;

	private static final long STATUS_TIMEOUT_MILLIS = 1_000;

	/** Well below {@link NodeServer#MAX_FRAME_BYTES}. */
	private static final long MAX_PARTS_BYTES = 4_194_304;

	private final Map<Address, BlockingDeque<NodeConnection>> idleConnections = new ConcurrentHashMap<>();

	private final NodeId self;

	private final String sharedSecret;

	private final Clock clock;

	/**
	 * Create a client without open connections.
	 * @param self the local node
	 * @param sharedSecret the secret by which nodes authenticate each other
	 * @param clock the clock of this node
	 */
	public NodeClients(NodeId self, String sharedSecret, Clock clock) {
		this.self = self;
		this.sharedSecret = sharedSecret;
		this.clock = clock;
	}

	/**
	 * Forward a keyed request to the node that owns the key.
	 * @param owner the owner of the key
	 * @param request the request
	 * @return the owner's answer, or why there is none
	 */
	public Either<Failure, Answer> forward(Member owner, KeyedRequest request) {
		long nowMillis = this.clock.millis();
		long timeoutMillis = Math.max(1, request.deadlineMillis() - nowMillis) + REPLY_MARGIN_MILLIS;
		return call(owner, Step.FORWARD, timeoutMillis,
				(client) -> WireCodec.fromWire(client.forward(WireCodec.toWire(request, nowMillis))));
	}

	/**
	 * Read the state of a key from its owner.
	 * @param owner the owner of the key
	 * @param key the idempotency key
	 * @param account the account of the caller
	 * @return the state, or why it can't be read
	 */
	public Either<Failure, RemoteKeyStatus> keyStatus(Member owner, RequestKey key, String account) {
		return call(owner, Step.READ, STATUS_TIMEOUT_MILLIS, (client) -> {
			KeyStatus status = client.keyStatus(key.toString(), account);
			return new RemoteKeyStatus(status.getState());
		});
	}

	/**
	 * Offer requests to a successor, in several messages if necessary.
	 * @param successor the node that is to take the requests over
	 * @param parts the parts of the key space to offer
	 * @param timeoutMillis the timeout of each message
	 * @return {@code true}, or why it is not known whether the successor has received
	 * everything
	 */
	public Either<Failure, Boolean> offer(Member successor, List<KeySpacePart> parts, long timeoutMillis) {
		return offerMessages(successor, KeySpacePartSplitter.split(parts, MAX_PARTS_BYTES), timeoutMillis);
	}

	private Either<Failure, Boolean> offerMessages(Member successor, List<List<KeySpacePart>> messages,
			long timeoutMillis) {
		for (List<KeySpacePart> message : messages) {
			Either<Failure, Boolean> sent = sendParts(successor, message, timeoutMillis,
					(client, wire) -> client.offer(WireCodec.toWire(this.self), wire));
			if (sent.isLeft()) {
				return sent;
			}
		}
		return Either.right(true);
	}

	/**
	 * Commit requests to a successor. If they don't fit into one message, all but the
	 * last message are sent as offers.
	 * @param successor the node that is to take the requests over
	 * @param parts the parts of the key space to commit
	 * @param timeoutMillis the timeout of each message
	 * @return the reply of the successor, or why it is not known
	 */
	public Either<Failure, CommitReply> commit(Member successor, List<KeySpacePart> parts, long timeoutMillis) {
		List<List<KeySpacePart>> messages = KeySpacePartSplitter.split(parts, MAX_PARTS_BYTES);
		int last = messages.size() - 1;
		return offerMessages(successor, messages.subList(0, last), timeoutMillis)
			.flatMap((offered) -> commitLast(successor, messages.get(last), timeoutMillis));
	}

	private Either<Failure, CommitReply> commitLast(Member successor, List<KeySpacePart> parts, long timeoutMillis) {
		List<io.flamingogap.wire.KeySpacePart> wire = WireCodec.partsToWire(parts, this.clock.millis());
		return call(successor, Step.HANDOVER, timeoutMillis,
				(client) -> client.commit(WireCodec.toWire(this.self), wire));
	}

	/**
	 * Send a successor the outcomes of calls that were in flight at the commit.
	 * @param successor the node that has taken the requests over
	 * @param parts the changed entries
	 * @param timeoutMillis the timeout of the message
	 * @return {@code true}, or why it is not known whether the successor has received the
	 * outcomes
	 */
	public Either<Failure, Boolean> sendOutcomes(Member successor, List<KeySpacePart> parts, long timeoutMillis) {
		return sendParts(successor, parts, timeoutMillis,
				(client, wire) -> client.outcomes(WireCodec.toWire(this.self), wire));
	}

	private Either<Failure, Boolean> sendParts(Member successor, List<KeySpacePart> parts, long timeoutMillis,
			PartsCall sender) {
		List<io.flamingogap.wire.KeySpacePart> wire = WireCodec.partsToWire(parts, this.clock.millis());
		return call(successor, Step.HANDOVER, timeoutMillis, (client) -> {
			sender.send(client, wire);
			return true;
		});
	}

	private <T> Either<Failure, T> call(Member peer, Step step, long timeoutMillis, NodeCall<T> call) {
		BlockingDeque<NodeConnection> pool = this.idleConnections.computeIfAbsent(peer.nodeAddress(),
				(address) -> new LinkedBlockingDeque<>(MAX_IDLE_CONNECTIONS));
		NodeConnection pooled = pool.pollFirst();
		if (pooled != null) {
			Either<TException, T> first = attempt(pooled, peer, pool, timeoutMillis, call);
			if (first.isRight() || first.getLeft() instanceof NodeFault) {
				return first.mapLeft((cause) -> outcomeUnknown(peer, step, cause));
			}
		}
		NodeConnection fresh;
		try {
			fresh = NodeConnection.open(peer.nodeAddress(), this.self, this.sharedSecret, CONNECT_TIMEOUT_MILLIS);
		}
		catch (TException ex) {
			return Either.left((pooled != null) ? outcomeUnknown(peer, step, ex) : notSent(peer, step, ex));
		}
		return attempt(fresh, peer, pool, timeoutMillis, call).mapLeft((cause) -> outcomeUnknown(peer, step, cause));
	}

	private <T> Either<TException, T> attempt(NodeConnection connection, Member peer,
			BlockingDeque<NodeConnection> pool, long timeoutMillis, NodeCall<T> call) {
		try {
			if (!connection.peer().equals(peer.node())) {
				throw new TTransportException("another node run, " + connection.peer() + ", answers at the address");
			}
			connection.setTimeoutMillis((int) timeoutMillis);
			T result = call.call(connection.client());
			if (!pool.offerFirst(connection)) {
				connection.close();
			}
			return Either.right(result);
		}
		catch (TException ex) {
			connection.close();
			return Either.left(ex);
		}
	}

	private static Failure outcomeUnknown(Member peer, Step step, TException cause) {
		String detail = (cause instanceof NodeFault nodeFault) ? nodeFault.getMessage() : String.valueOf(cause);
		return new Failure(ProblemType.OUTCOME_UNKNOWN, step, peer.node().toString(), Execution.UNKNOWN, detail);
	}

	private static Failure notSent(Member peer, Step step, TException cause) {
		return new Failure(ProblemType.OUTCOME_UNKNOWN, Step.CONNECT, peer.node().toString(), Execution.NOT_RUN,
				"no connection for " + step + ": " + cause.getMessage());
	}

	/**
	 * State of a key at its owner.
	 *
	 * @param state the name of the state; {@code ABSENT} if the owner doesn't hold the
	 * key
	 */
	public record RemoteKeyStatus(String state) {
	}

	@FunctionalInterface
	private interface NodeCall<T> {

		T call(NodeService.Client client) throws TException;

	}

	@FunctionalInterface
	private interface PartsCall {

		void send(NodeService.Client client, List<io.flamingogap.wire.KeySpacePart> parts) throws TException;

	}

}
