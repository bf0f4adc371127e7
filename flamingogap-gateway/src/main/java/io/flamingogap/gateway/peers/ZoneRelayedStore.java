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
 * Reads the store and submits node reports through one node of the zone, the relay, since
 * calls to the store are expensive and traffic within a zone is free. If the relay fails,
 * and for all other calls, the node calls the store itself.
 */
public final class ZoneRelayedStore extends ForwardingStore implements ReportSink {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final PeerStoreClient client;

	private final ZoneRelaySelector relaySelector;

	private final ReportBatcher batcher;

	private final KnownTimeline knownTimeline;

	private final OpenReads openReads = new OpenReads();

	/**
	 * Create a store that uses a relay.
	 * @param client calls other nodes
	 * @param store the store to call if this node is the relay, if the relay failed, or
	 * if the call is not relayed
	 * @param relaySelector selects the relay
	 * @param batcher collects the reports of the zone while this node is the relay
	 * @param knownTimeline the newest timeline that this node knows of
	 */
	ZoneRelayedStore(PeerStoreClient client, RecordStore store, ZoneRelaySelector relaySelector, ReportBatcher batcher,
			KnownTimeline knownTimeline) {
		super(store);
		this.client = client;
		this.relaySelector = relaySelector;
		this.batcher = batcher;
		this.knownTimeline = knownTimeline;
		knownTimeline.whenChanged(() -> this.openReads.failAll(returned()));
	}

	private StoreException returned() {
		return new StoreException(Reason.DROPPED, "the store has returned in timeline " + this.knownTimeline.number());
	}

	@Override
	public CompletableFuture<Batch> read(StoreStream stream, long from, long waitMillis) {
		return this.openReads.add(callRelay(new PeerCall(StoreCall.READ, stream.name(), from, waitMillis),
				(reply) -> PeerCodec.toBatch(reply, true), () -> super.read(stream, from, waitMillis),
				() -> super.read(stream, from, 0)));
	}

	@Override
	public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
		PeerCall call = new PeerCall(StoreCall.NEWEST, stream.name(), 0, 0);
		after.ifPresent(call::setKey);
		Supplier<CompletableFuture<Page>> listDirectly = () -> super.listNewest(stream, after);
		return callRelay(call, PeerCodec::toPage, listDirectly, listDirectly);
	}

	@Override
	public CompletableFuture<Long> submit(String key, byte[] value) {
		PeerCall call = new PeerCall(StoreCall.APPEND, StoreStream.NODES.name(), 0, ReportBatcher.COLLECT_MILLIS);
		call.setKey(key);
		call.setContent(value);
		Supplier<CompletableFuture<Long>> appendDirectly = () -> super.append(StoreStream.NODES, key,
				Optional.of(value), OptionalLong.empty());
		return callRelay(call, PeerReply::getPosition,
				() -> this.batcher.submit(key, value).exceptionallyCompose((failure) -> {
					logger.atInfo()
						.log("%s", LogLine.of("zone's reports not appended together")
							.with("reason", StoreException.of(failure).getMessage()));
					return appendDirectly.get();
				}), appendDirectly);
	}

	/**
	 * Call the relay, unless this node is the relay.
	 * @param call the call
	 * @param decoder decodes the reply
	 * @param asRelay makes the call if this node itself calls the store for its zone
	 * @param afterRelayFailure makes the call if the relay failed
	 * @param <T> the type of the result
	 * @return the result
	 */
	private <T> CompletableFuture<T> callRelay(PeerCall call, Function<PeerReply, T> decoder,
			Supplier<CompletableFuture<T>> asRelay, Supplier<CompletableFuture<T>> afterRelayFailure) {
		Optional<ZoneRelaySelector.Relay> relay = this.relaySelector.currentRelay();
		if (relay.isEmpty()) {
			return asRelay.get();
		}
		long timelineAtCall = this.knownTimeline.number();
		return this.client.call(relay.get().address(), call).handle((reply, failure) -> {
			if (failure == null) {
				return CompletableFuture.completedFuture(decoder.apply(reply));
			}
			if (failure instanceof StoreException storeFailure && storeFailure.reason().areRecordsMissing()) {
				return CompletableFuture.<T>failedFuture(storeFailure);
			}
			if (call.getCall() == StoreCall.READ && this.knownTimeline.number() != timelineAtCall) {
				return CompletableFuture.<T>failedFuture(returned());
			}
			this.relaySelector.avoid(relay.get());
			logger.atInfo()
				.log("%s",
						LogLine.of("relay left")
							.with("peer", relay.get().node())
							.with("stream", call.getStreamName())
							.with("reason", StoreException.of(failure).getMessage()));
			return afterRelayFailure.get();
		}).thenCompose(Function.identity());
	}

}
