package io.flamingogap.gateway.peers;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.RecordStore.NewRecord;
import io.flamingogap.gateway.store.StoreStream;

/**
 * Collects the node reports of a zone and appends them to the store in one call. Used on
 * the event loop only.
 */
public final class ReportBatcher implements ReportSink {

	/**
	 * How long reports are collected. The sum of this time and the pause between two
	 * reads of the reports must be less than the time between two reports of a node:
	 * quota shares assume that all nodes have received a report before its node sends the
	 * next one.
	 */
	static final long COLLECT_MILLIS = 400;

	private final EventLoop loop;

	private final RecordStore store;

	private final Map<String, NewRecord> collected = new LinkedHashMap<>();

	private CompletableFuture<Long> nextResult = new CompletableFuture<>();

	/**
	 * Create a batcher without reports.
	 * @param loop the event loop
	 * @param store the store to append to
	 */
	public ReportBatcher(EventLoop loop, RecordStore store) {
		this.loop = loop;
		this.store = store;
	}

	@Override
	public CompletableFuture<Long> submit(String key, byte[] value) {
		if (this.collected.isEmpty()) {
			this.loop.schedule(this::append, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
		}
		this.collected.put(key, new NewRecord(key, value));
		return this.nextResult;
	}

	private void append() {
		List<NewRecord> records = List.copyOf(this.collected.values());
		CompletableFuture<Long> batchResult = this.nextResult;
		this.collected.clear();
		this.nextResult = new CompletableFuture<>();
		this.store.appendAll(StoreStream.NODES, records).whenComplete((offset, failure) -> {
			if (failure != null) {
				batchResult.completeExceptionally(failure);
			}
			else {
				batchResult.complete(offset);
			}
		});
	}

}
