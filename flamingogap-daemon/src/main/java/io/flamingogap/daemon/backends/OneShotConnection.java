package io.flamingogap.daemon.backends;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.node.Address;
import io.flamingogap.gateway.http.HttpCallResponse;
import io.flamingogap.gateway.http.PooledHttpClient;

/**
 * Connection that is opened for a single call and closed after it.
 * <p>
 * If the server closes a connection that carried another call before, the outcome of a
 * call is unknown. This class opens the connection in a separate step, which sends
 * nothing. After a failure of {@link #exchange}, the request may have been sent.
 */
public final class OneShotConnection implements AutoCloseable {

	private final BackendServer server;

	private final BackendCall call;

	private final EventLoop loop;

	private final PooledHttpClient client;

	private final long timeoutMillis;

	private OneShotConnection(BackendServer server, BackendCall call, EventLoop loop, PooledHttpClient client,
			long timeoutMillis) {
		this.server = server;
		this.call = call;
		this.loop = loop;
		this.client = client;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Open a connection. Nothing of the call is sent.
	 * @param loop the event loop that runs the connection
	 * @param server the backend server
	 * @param call the call to send over the connection
	 * @param connectTimeoutMillis the timeout for opening the connection
	 * @param timeoutMillis the maximum time to wait for the complete answer
	 * @return the connection, or why there is none
	 */
	static Either<CallResult.NotSent, OneShotConnection> open(EventLoop loop, BackendServer server, BackendCall call,
			long connectTimeoutMillis, long timeoutMillis) {
		PooledHttpClient client = new PooledHttpClient(loop, Address.parse(server.address()),
				(int) connectTimeoutMillis, Integer.MAX_VALUE);
		CompletableFuture<Void> connected = EventLoopCalls.start(loop, client::connect);
		try {
			connected.get();
			return Either.right(new OneShotConnection(server, call, loop, client, timeoutMillis));
		}
		catch (ExecutionException ex) {
			return Either.left(BackendClient.notSent(server, ex.getCause().getMessage()));
		}
		catch (InterruptedException ex) {
			connected.cancel(false);
			Thread.currentThread().interrupt();
			return Either.left(BackendClient.notSent(server, "interrupted while connecting"));
		}
	}

	/**
	 * Send the call and wait for its answer.
	 * @return the answer, or that the outcome is unknown
	 */
	public CallResult exchange() {
		Map<String, String> headers = this.call.headers();
		headers.put("Connection", "close");
		headers.put("Content-Type", this.call.contentType());
		CompletableFuture<HttpCallResponse> pending = EventLoopCalls.start(this.loop,
				() -> this.client.call(HttpMethod.valueOf(this.call.method()), this.call.path(), headers,
						this.call.body(), this.timeoutMillis));
		try {
			return BackendClient.answered(pending.get());
		}
		catch (ExecutionException ex) {
			return BackendClient.lost(this.server, ex.getCause().getMessage());
		}
		catch (InterruptedException ex) {
			pending.cancel(false);
			Thread.currentThread().interrupt();
			return BackendClient.lost(this.server, "interrupted while waiting for the answer");
		}
	}

	@Override
	public void close() {
		this.loop.execute(this.client::closeIdleConnections);
	}

}
