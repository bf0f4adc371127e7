package io.flamingogap.gateway.peers;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.apache.thrift.TException;

import io.flamingogap.gateway.http.SimpleHttpServer;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreException.Reason;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.wire.peer.PeerCall;
import io.flamingogap.wire.peer.PeerReply;
import io.flamingogap.wire.peer.StoreOutcome;

/**
 * Makes store calls for other nodes. Uses only this node's own access to the store and
 * never a third node, so that calls can't loop.
 */
public final class PeerStoreService {

	private final ZoneReadCache store;

	private final ReportBatcher reportBatcher;

	/**
	 * Create a service.
	 * @param store this node's direct access to the store
	 * @param reportBatcher collects the reports of other nodes
	 */
	public PeerStoreService(ZoneReadCache store, ReportBatcher reportBatcher) {
		this.store = store;
		this.reportBatcher = reportBatcher;
	}

	/**
	 * Answer a store call.
	 * @param request the HTTP request, whose body is the call
	 * @return the HTTP response; with status 400 if the call can't be decoded
	 */
	public CompletableFuture<SimpleHttpServer.Response> answer(SimpleHttpServer.Request request) {
		try {
			PeerCall call = ThriftSerializer.deserialize(request.body(), new PeerCall());
			StoreStream stream = StoreStream.valueOf(call.getStreamName());
			KnownTimeline knownTimeline = this.store.knownTimeline();
			knownTimeline.learn(call.getTimeline());
			return execute(call, stream)
				.exceptionally((failure) -> PeerCodec.failureReply(failure).setTimeline(knownTimeline.number()))
				.thenApply((reply) -> new SimpleHttpServer.Response(200, "application/vnd.apache.thrift.compact",
						ThriftSerializer.serialize(reply)));
		}
		catch (TException | IllegalArgumentException ex) {
			return CompletableFuture.completedFuture(SimpleHttpServer.Response.text(400, "unreadable call\n"));
		}
	}

	private CompletableFuture<PeerReply> execute(PeerCall call, StoreStream stream) {
		return switch (call.getCall()) {
			case READ -> read(call, stream)
				.thenApply((batch) -> new PeerReply(StoreOutcome.DONE, PeerCodec.toPeerRecords(batch.records()),
						batch.nextOffset(), false)
					.setAgeMillis(batch.ageMillis())
					.setTimeline(batch.timeline()));
			case NEWEST -> this.store.listNewest(stream, Optional.ofNullable(call.getKey()))
				.thenApply((page) -> new PeerReply(StoreOutcome.DONE, PeerCodec.toPeerRecords(page.records()),
						page.endOffset(), page.hasMore())
					.setTimeline(page.timeline()));
			case APPEND ->
				append(call, stream).thenApply((offset) -> new PeerReply(StoreOutcome.DONE, List.of(), offset, false)
					.setTimeline(this.store.timeline()));
		};
	}

	private CompletableFuture<RecordStore.Batch> read(PeerCall call, StoreStream stream) {
		if (call.isSetTimeline() && this.store.knownTimeline().isPast(call.getTimeline())) {
			return CompletableFuture.failedFuture(new StoreException(Reason.DROPPED,
					"offset " + call.getFromOffset() + " is of timeline " + call.getTimeline() + " or an earlier one"));
		}
		return this.store.readForPeer(stream, call.getFromOffset(), call.getWaitMillis());
	}

	/**
	 * Append a record. A node report is appended together with others if its sender
	 * allows the delay.
	 * @param call the call
	 * @param stream the stream
	 * @return the offset of the record, or of the first one of its batch
	 */
	private CompletableFuture<Long> append(PeerCall call, StoreStream stream) {
		if (stream == StoreStream.NODES && call.getWaitMillis() > 0 && call.isSetContent()) {
			return this.reportBatcher.submit(call.getKey(), call.getContent());
		}
		return this.store.append(stream, call.getKey(),
				call.isSetContent() ? Optional.of(call.getContent()) : Optional.empty(), OptionalLong.empty());
	}

}
