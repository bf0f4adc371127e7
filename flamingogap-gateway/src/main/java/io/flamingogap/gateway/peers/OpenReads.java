package io.flamingogap.gateway.peers;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.flamingogap.gateway.store.RecordStore.Batch;
import io.flamingogap.gateway.store.StoreException;

/**
 * Reads that are not answered yet. Used on the event loop only.
 */
final class OpenReads {

	private final Set<CompletableFuture<Batch>> results = new LinkedHashSet<>();

	/**
	 * Add a read until it is answered.
	 * @param answer completes with the answer
	 * @return completes with the answer, or earlier with a failure of all reads
	 */
	CompletableFuture<Batch> add(CompletableFuture<Batch> answer) {
		CompletableFuture<Batch> result = new CompletableFuture<>();
		this.results.add(result);
		answer.whenComplete((batch, failure) -> {
			this.results.remove(result);
			if (failure != null) {
				result.completeExceptionally(failure);
			}
			else {
				result.complete(batch);
			}
		});
		return result;
	}

	/**
	 * Fail all reads. Their answers are ignored.
	 * @param failure why they fail
	 */
	void failAll(StoreException failure) {
		List<CompletableFuture<Batch>> failed = List.copyOf(this.results);
		this.results.clear();
		failed.forEach((result) -> result.completeExceptionally(failure));
	}

}
