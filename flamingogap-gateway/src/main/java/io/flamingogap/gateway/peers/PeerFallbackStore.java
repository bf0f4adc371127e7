package io.flamingogap.gateway.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.wire.peer.PeerCall;
import io.flamingogap.wire.peer.PeerReply;
import io.flamingogap.wire.peer.StoreCall;

/**
 * The store, reached through other nodes while it turns this one away. Conditional
 * appends and the group go to the store itself only: a node that can't reach it holds no
 * duties.
 */
public final class PeerFallbackStore extends ForwardingStore {

	/**
	 * Nodes that are asked, one after the other; more than half of the nodes may be
	 * turned away.
	 */
	private static final int MAX_PEERS = 3;

	/** After the store failed, it is tried again after this time. */
	private static final long TRY_AGAIN_MILLIS = 1_500;

	private final PeerStoreClient caller;

	private final Supplier<List<Address>> peers;

	private final LongSupplier steadyMillis;

	private final Random order = new Random();

	private long failedAtMillis = Long.MIN_VALUE / 2;

	/**
	 * Create a store.
	 * @param caller calls other nodes
	 * @param store the store as this node reaches it
	 * @param peers the addresses of other nodes
	 * @param steadyMillis tells the present time
	 */
	public PeerFallbackStore(PeerStoreClient caller, RecordStore store, Supplier<List<Address>> peers,
			LongSupplier steadyMillis) {
		super(store);
		this.caller = caller;
		this.peers = peers;
		this.steadyMillis = steadyMillis;
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		PeerCall call = new PeerCall(StoreCall.READ, stream.name(), from, waitMillis);
		return this.<Batch>orThroughPeers(() -> super.read(stream, from, waitMillis), call,
				(reply) -> new Batch(PeerCodec.read(reply), reply.getPosition(), false));
	}

	@Override
	public CompletableFuture<Page> newest(StoreStream stream, Optional<String> after) {
		PeerCall call = new PeerCall(StoreCall.NEWEST, stream.name(), 0, 0);
		after.ifPresent(call::setKey);
		return this.<Page>orThroughPeers(() -> super.newest(stream, after), call,
				(reply) -> new Page(PeerCodec.read(reply), reply.isHasMore(), reply.getPosition()));
	}

	@Override
	public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
			OptionalLong expectedEnd) {
		if (expectedEnd.isPresent()) {
			return super.append(stream, key, value, expectedEnd);
		}
		PeerCall call = new PeerCall(StoreCall.APPEND, stream.name(), 0, 0);
		call.setKey(key);
		value.ifPresent(call::setContent);
		return this.<Long>orThroughPeers(() -> super.append(stream, key, value, expectedEnd), call,
				PeerReply::getPosition);
	}

	private <T> CompletableFuture<T> orThroughPeers(Supplier<CompletableFuture<T>> direct, PeerCall call,
			Function<PeerReply, T> decoder) {
		CompletableFuture<T> result = new CompletableFuture<>();
		if (this.steadyMillis.getAsLong() - this.failedAtMillis < TRY_AGAIN_MILLIS && !this.peers.get().isEmpty()) {
			throughPeers(call, shuffledPeers(), decoder, result, new StoreException(Reason.UNAVAILABLE, "store lost"));
			return result;
		}
		direct.get().whenComplete((value, failure) -> {
			if (failure == null) {
				result.complete(value);
			}
			else {
				throughPeersIfTurnedAway(call, StoreException.of(failure), decoder, result);
			}
		});
		return result;
	}

	private <T> void throughPeersIfTurnedAway(PeerCall call, StoreException refused, Function<PeerReply, T> decoder,
			CompletableFuture<T> result) {
		if (isUnreachable(refused.reason())) {
			this.failedAtMillis = this.steadyMillis.getAsLong();
			throughPeers(call, shuffledPeers(), decoder, result, refused);
		}
		else {
			result.completeExceptionally(refused);
		}
	}

	private static boolean isUnreachable(Reason reason) {
		return reason == Reason.UNAVAILABLE || reason == Reason.UNKNOWN;
	}

	private List<Address> shuffledPeers() {
		List<Address> shuffled = new ArrayList<>(this.peers.get());
		Collections.shuffle(shuffled, this.order);
		return shuffled.subList(0, Math.min(MAX_PEERS, shuffled.size()));
	}

	private <T> void throughPeers(PeerCall call, List<Address> left, Function<PeerReply, T> decoder,
			CompletableFuture<T> result, StoreException last) {
		if (left.isEmpty()) {
			result.completeExceptionally(last);
			return;
		}
		this.caller.call(left.get(0), call).whenComplete((answer, failure) -> {
			if (failure == null) {
				result.complete(decoder.apply(answer));
			}
			else {
				StoreException refused = StoreException.of(failure);
				if (isUnreachable(refused.reason())) {
					throughPeers(call, left.subList(1, left.size()), decoder, result, refused);
				}
				else {
					result.completeExceptionally(refused);
				}
			}
		});
	}

}
