package io.flamingogap.gateway.peers;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.wire.peer.PeerCall;
import io.flamingogap.wire.peer.PeerReply;
import io.flamingogap.wire.peer.StoreCall;

/**
 * The store, read through one node of the zone that reads it for all, since calls of the
 * store are dear and bytes within a zone are free. A node whose relay fails calls the
 * store itself.
 */
public final class ZoneRelayedStore extends ForwardingStore implements ReportSink {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final PeerStoreClient caller;

	private final ZoneRelaySelector relay;

	private final ReportBatcher batch;

	/**
	 * Create a store.
	 * @param caller calls other nodes
	 * @param store the store for a node without a relay
	 * @param relay names the node to relay through
	 * @param batch collects reports if this node is the relay
	 */
	public ZoneRelayedStore(PeerStoreClient caller, RecordStore store, ZoneRelaySelector relay, ReportBatcher batch) {
		super(store);
		this.caller = caller;
		this.relay = relay;
		this.batch = batch;
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		return throughRelay(new PeerCall(StoreCall.READ, stream.name(), from, waitMillis),
				(reply) -> new Batch(PeerCodec.read(reply), reply.getPosition(), true),
				() -> super.read(stream, from, waitMillis), () -> super.read(stream, from, 0));
	}

	@Override
	public CompletableFuture<Long> offer(String key, byte[] value) {
		PeerCall call = new PeerCall(StoreCall.APPEND, StoreStream.NODES.name(), 0, ReportBatcher.COLLECT_MILLIS);
		call.setKey(key);
		call.setContent(value);
		Supplier<CompletableFuture<Long>> alone = () -> super.append(StoreStream.NODES, key, Optional.of(value),
				OptionalLong.empty());
		return throughRelay(call, PeerReply::getPosition,
				() -> this.batch.offer(key, value).exceptionallyCompose((failure) -> {
					logger.atInfo()
						.log("%s", LogLine.of("zone's reports not appended together")
							.with("reason", StoreException.of(failure).getMessage()));
					return alone.get();
				}), alone);
	}

	/**
	 * Call the relay.
	 * @param call the call
	 * @param decoder reads its answer
	 * @param asRelay what to do if this node calls the store for the zone
	 * @param alone what to do if the relay fails
	 * @param <T> the type of the result
	 * @return the result
	 */
	private <T> CompletableFuture<T> throughRelay(PeerCall call, Function<PeerReply, T> decoder,
			Supplier<CompletableFuture<T>> asRelay, Supplier<CompletableFuture<T>> alone) {
		Optional<ZoneRelaySelector.Relay> through = this.relay.current();
		if (through.isEmpty()) {
			return asRelay.get();
		}
		return this.caller.call(through.get().address(), call).handle((reply, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(decoder.apply(reply));
			}
			if (failure instanceof StoreException refused && refused.reason() == Reason.DROPPED) {
				return CompletableFuture.<T>failedFuture(refused);
			}
			this.relay.avoid(through.get());
			logger.atInfo()
				.log("%s",
						LogLine.of("relay left")
							.with("peer", through.get().node())
							.with("stream", call.getStreamName())
							.with("reason", StoreException.of(failure).getMessage()));
			return alone.get();
		}).thenCompose(Function.identity());
	}

}
