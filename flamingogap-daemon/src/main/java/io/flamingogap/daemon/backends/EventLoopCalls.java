package io.flamingogap.daemon.backends;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

/**
 * Lets other threads make asynchronous calls that may be started only on an event loop.
 */
final class EventLoopCalls {

	private EventLoopCalls() {
	}

	/**
	 * Start a call on an event loop.
	 * @param <T> the type of the result
	 * @param loop the event loop
	 * @param call starts the call
	 * @return the result; cancelling it cancels the call
	 */
	static <T> CompletableFuture<T> start(EventLoop loop, Supplier<CompletableFuture<T>> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		loop.execute(() -> {
			if (!result.isDone()) {
				forward(loop, startOrFail(call), result);
			}
		});
		return result;
	}

	private static <T> CompletableFuture<T> startOrFail(Supplier<CompletableFuture<T>> call) {
		try {
			return call.get();
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private static <T> void forward(EventLoop loop, CompletableFuture<T> pending, CompletableFuture<T> result) {
		pending.whenComplete((value, failure) -> {
			if (failure != null) {
				result.completeExceptionally(failure);
			}
			else {
				result.complete(value);
			}
		});
		result.whenComplete((value, failure) -> loop.execute(() -> pending.cancel(false)));
	}

}
