package io.flamingogap.daemon.backends;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Either;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.request.Answer;
import io.flamingogap.gateway.http.HttpCallException;
import io.flamingogap.gateway.http.HttpCallResponse;
import io.flamingogap.gateway.http.PooledHttpClient;

/**
 * HTTP/1.1 client for backend servers. Repeatable calls use pooled connections, each
 * unrepeatable call uses a new connection.
 */
public final class BackendClient {

	private final long connectTimeoutMillis;

	private final AtomicReference<HttpClient> streamClient;

	private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("backend-calls", true),
			NioIoHandler.newFactory())
		.next();

	/** Clients by address; used on the event loop only. */
	private final Map<String, PooledHttpClient> clients = new HashMap<>();

	/**
	 * Create a client. Callbacks of {@link #streamClient()} run on its own thread, which
	 * avoids a thread switch for each token. They must not block.
	 * @param connectTimeoutMillis the timeout for opening a connection
	 */
	public BackendClient(long connectTimeoutMillis) {
		this.connectTimeoutMillis = connectTimeoutMillis;
		this.streamClient = new AtomicReference<>(newStreamClient());
	}

	private HttpClient newStreamClient() {
		return HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(Duration.ofMillis(this.connectTimeoutMillis))
			.followRedirects(HttpClient.Redirect.NEVER)
			.executor(Runnable::run)
			.build();
	}

	/**
	 * Return the HTTP client for token streams and load reports.
	 * @return a client that pools connections
	 */
	HttpClient streamClient() {
		return this.streamClient.get();
	}

	/**
	 * Replace the client in which a connection fell silent, since its idle connections
	 * may be silent too. Calls that use the old client go on.
	 * @param suspect the client; if it was replaced before, nothing happens
	 */
	void replaceStreamClient(HttpClient suspect) {
		if (this.streamClient.get() == suspect) {
			this.streamClient.compareAndSet(suspect, newStreamClient());
		}
	}

	/**
	 * Send a repeatable call over a pooled connection.
	 * @param server the backend server
	 * @param call the call
	 * @param timeoutMillis the maximum time to wait for the complete answer
	 * @return the answer, or whether the request may have been sent
	 */
	public CallResult call(BackendServer server, BackendCall call, long timeoutMillis) {
		Map<String, String> headers = call.headers();
		if (call.body().length > 0) {
			headers.put("Content-Type", call.contentType());
		}
		CompletableFuture<HttpCallResponse> pending = EventLoopCalls.start(this.loop, () -> clientOf(server)
			.call(HttpMethod.valueOf(call.method()), call.path(), headers, call.body(), timeoutMillis));
		try {
			return answered(pending.get(timeoutMillis, TimeUnit.MILLISECONDS));
		}
		catch (ExecutionException ex) {
			return (ex.getCause() instanceof HttpCallException failed && !failed.mayHaveTakenEffect())
					? notSent(server, failed.getMessage()) : lost(server, ex.getCause().getMessage());
		}
		catch (TimeoutException ex) {
			pending.cancel(false);
			return lost(server, "no answer within " + timeoutMillis + " ms");
		}
		catch (InterruptedException ex) {
			pending.cancel(false);
			Thread.currentThread().interrupt();
			return lost(server, "interrupted while waiting for the answer");
		}
	}

	private PooledHttpClient clientOf(BackendServer server) {
		return this.clients.computeIfAbsent(server.address(), (address) -> new PooledHttpClient(this.loop,
				Address.parse(address), (int) this.connectTimeoutMillis, Integer.MAX_VALUE));
	}

	/**
	 * Open a new connection for an unrepeatable call. Nothing of the call is sent.
	 * @param server the backend server
	 * @param call the call to send over the connection
	 * @param timeoutMillis the maximum time to wait for the complete answer
	 * @return the connection, which the caller must close, or why there is none
	 */
	public Either<CallResult.NotSent, OneShotConnection> openFor(BackendServer server, BackendCall call,
			long timeoutMillis) {
		return OneShotConnection.open(this.loop, server, call, this.connectTimeoutMillis, timeoutMillis);
	}

	static CallResult.Answered answered(HttpCallResponse response) {
		return new CallResult.Answered(new Answer(response.status(),
				response.contentType().orElse("application/octet-stream"), response.body()));
	}

	static CallResult.NotSent notSent(BackendServer server, String reason) {
		return new CallResult.NotSent(Failure.notRun(ProblemType.NO_BACKEND, Step.CONNECT, server.name(),
				"no connection to " + server.address() + ": " + reason));
	}

	static CallResult.Lost lost(BackendServer server, String reason) {
		return new CallResult.Lost(
				new Failure(ProblemType.OUTCOME_UNKNOWN, Step.DISPATCH, server.name(), Execution.UNKNOWN, reason));
	}

}
