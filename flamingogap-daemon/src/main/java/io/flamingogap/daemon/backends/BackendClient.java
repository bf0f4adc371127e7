package io.flamingogap.daemon.backends;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.request.Answer;

/**
 * HTTP/1.1 client for backend servers. Repeatable calls use pooled connections, each
 * unrepeatable call uses a new connection.
 */
public final class BackendClient {

	private final long connectTimeoutMillis;

	private final AtomicReference<HttpClient> pooled;

	/**
	 * Create a client. Callbacks run on the thread of the pooling client, which avoids a
	 * thread switch for each token. They must not block.
	 * @param connectTimeoutMillis the timeout for opening a connection
	 */
	public BackendClient(long connectTimeoutMillis) {
		this.connectTimeoutMillis = connectTimeoutMillis;
		this.pooled = new AtomicReference<>(newPool());
	}

	private HttpClient newPool() {
		return HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(Duration.ofMillis(this.connectTimeoutMillis))
			.followRedirects(HttpClient.Redirect.NEVER)
			.executor(Runnable::run)
			.build();
	}

	/**
	 * Return the HTTP client for repeatable calls.
	 * @return a client that pools connections
	 */
	HttpClient pooled() {
		return this.pooled.get();
	}

	/**
	 * Replace a pool in which a connection fell silent, since its idle connections may be
	 * silent too. Calls that use the old pool go on.
	 * @param suspect the pool; if it was replaced before, nothing happens
	 */
	void replacePool(HttpClient suspect) {
		if (this.pooled.get() == suspect) {
			this.pooled.compareAndSet(suspect, newPool());
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
		return send(server, requestBuilder(server, call).build(), timeoutMillis);
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
		return OneShotConnection.open(server, call, this.connectTimeoutMillis, timeoutMillis);
	}

	private static HttpRequest.Builder requestBuilder(BackendServer server, BackendCall call) {
		HttpRequest.BodyPublisher body = (call.body().length > 0) ? HttpRequest.BodyPublishers.ofByteArray(call.body())
				: HttpRequest.BodyPublishers.noBody();
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + server.address() + call.path()))
			.method(call.method(), body)
			.header("X-Account", call.account())
			.header("X-Deadline-Millis", String.valueOf(call.remainingMillis()));
		if (call.body().length > 0) {
			request.header("Content-Type", call.contentType());
		}
		return request;
	}

	private CallResult send(BackendServer server, HttpRequest request, long timeoutMillis) {
		Future<HttpResponse<byte[]>> pending = pooled().sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
		try {
			HttpResponse<byte[]> response = pending.get(timeoutMillis, TimeUnit.MILLISECONDS);
			String contentType = response.headers().firstValue("Content-Type").orElse("application/octet-stream");
			return new CallResult.Answered(new Answer(response.statusCode(), contentType, response.body()));
		}
		catch (ExecutionException ex) {
			return failedResult(server, ex.getCause());
		}
		catch (TimeoutException ex) {
			pending.cancel(true);
			return new CallResult.Lost(unknownOutcome(server, "no answer within " + timeoutMillis + " ms"));
		}
		catch (InterruptedException ex) {
			pending.cancel(true);
			Thread.currentThread().interrupt();
			return new CallResult.Lost(unknownOutcome(server, "interrupted while waiting for the answer"));
		}
	}

	private static CallResult failedResult(BackendServer server, Throwable cause) {
		if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
			return new CallResult.NotSent(Failure.notRun(ProblemType.NO_BACKEND, Step.CONNECT, server.name(),
					"no connection to " + server.address() + ": " + cause.getMessage()));
		}
		String reason = (cause instanceof IOException) ? "connection broke" : cause.getClass().getSimpleName();
		return new CallResult.Lost(unknownOutcome(server, reason + ": " + cause.getMessage()));
	}

	private static Failure unknownOutcome(BackendServer server, String detail) {
		return new Failure(ProblemType.OUTCOME_UNKNOWN, Step.DISPATCH, server.name(), Execution.UNKNOWN, detail);
	}

}
