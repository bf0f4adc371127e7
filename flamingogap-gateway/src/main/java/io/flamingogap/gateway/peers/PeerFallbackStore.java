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
 * Falls back to other nodes while the store can't be reached from this node. Conditional
 * appends, joining and leaving the group, and batches of records are sent to the store
 * itself only. A node that can't reach the store must not hold the duties, the tasks that
 * one node does for all.
 */
public final class PeerFallbackStore extends ForwardingStore {

	/**
	 * How many randomly chosen nodes are tried, one after the other. One is not enough:
	 * the store may refuse the calls of more than half of the nodes.
	 */
	private static final int MAX_PEERS = 3;

	/**
	 * How long calls go straight to other nodes after the store failed, if there are any.
	 */
	private static final long STORE_RETRY_MILLIS = 1_500;

	private final PeerStoreClient client;

	private final Supplier<List<Address>> peers;

	private final LongSupplier steadyMillis;

	private final Random random;

	private long failedAtMillis = Long.MIN_VALUE / 2;

	/**
	 * Create a store with a fallback.
	 * @param client calls other nodes
	 * @param store this node's direct access to the store
	 * @param peers returns the addresses of other nodes
	 * @param random chooses the nodes to try
	 * @param steadyMillis the monotonic clock, in milliseconds
	 */
	PeerFallbackStore(PeerStoreClient client, RecordStore store, Supplier<List<Address>> peers, Random random,
			LongSupplier steadyMillis) {
		super(store);
		this.client = client;
		this.peers = peers;
		this.random = random;
		this.steadyMillis = steadyMillis;
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		PeerCall call = new PeerCall(StoreCall.READ, stream.name(), from, waitMillis);
		return this.<Batch>callStoreOrPeers(() -> super.read(stream, from, waitMillis), call,
				(reply) -> PeerCodec.toBatch(reply, false));
	}

	@Override
	public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
		PeerCall call = new PeerCall(StoreCall.NEWEST, stream.name(), 0, 0);
		after.ifPresent(call::setKey);
		return this.<Page>callStoreOrPeers(() -> super.listNewest(stream, after), call, PeerCodec::toPage);
	}

	@Override
	public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
			OptionalLong expectedOffset) {
		if (expectedOffset.isPresent()) {
			return super.append(stream, key, value, expectedOffset);
		}
		PeerCall call = new PeerCall(StoreCall.APPEND, stream.name(), 0, 0);
		call.setKey(key);
		value.ifPresent(call::setContent);
		return this.<Long>callStoreOrPeers(() -> super.append(stream, key, value, expectedOffset), call,
				PeerReply::getPosition);
	}

	private <T> CompletableFuture<T> callStoreOrPeers(Supplier<CompletableFuture<T>> direct, PeerCall call,
			Function<PeerReply, T> decoder) {
		CompletableFuture<T> result = new CompletableFuture<>();
		if (this.steadyMillis.getAsLong() - this.failedAtMillis < STORE_RETRY_MILLIS && !this.peers.get().isEmpty()) {
			callPeers(call, shuffledPeers(), decoder, result, new StoreException(Reason.UNAVAILABLE,
					"the store failed recently and no other node was reachable"));
			return result;
		}
		direct.get().whenComplete((value, failure) -> {
			if (failure == null) {
				result.complete(value);
			}
			else {
				callPeersIfUnreachable(call, StoreException.of(failure), decoder, result);
			}
		});
		return result;
	}

	private <T> void callPeersIfUnreachable(PeerCall call, StoreException storeFailure, Function<PeerReply, T> decoder,
			CompletableFuture<T> result) {
		if (isUnreachable(storeFailure.reason())) {
			this.failedAtMillis = this.steadyMillis.getAsLong();
			callPeers(call, shuffledPeers(), decoder, result, storeFailure);
		}
		else {
			result.completeExceptionally(storeFailure);
		}
	}

	private static boolean isUnreachable(Reason reason) {
		return reason == Reason.UNAVAILABLE || reason == Reason.UNKNOWN;
	}

	private List<Address> shuffledPeers() {
		List<Address> shuffled = new ArrayList<>(this.peers.get());
		Collections.shuffle(shuffled, this.random);
		return shuffled.subList(0, Math.min(MAX_PEERS, shuffled.size()));
	}

	private <T> void callPeers(PeerCall call, List<Address> remaining, Function<PeerReply, T> decoder,
			CompletableFuture<T> result, StoreException lastFailure) {
		if (remaining.isEmpty()) {
			result.completeExceptionally(lastFailure);
			return;
		}
		this.client.call(remaining.get(0), call).whenComplete((reply, failure) -> {
			if (failure == null) {
				result.complete(decoder.apply(reply));
			}
			else {
				StoreException peerFailure = StoreException.of(failure);
				if (isUnreachable(peerFailure.reason())) {
					callPeers(call, remaining.subList(1, remaining.size()), decoder, result, peerFailure);
				}
				else {
					result.completeExceptionally(peerFailure);
				}
			}
		});
	}

}
