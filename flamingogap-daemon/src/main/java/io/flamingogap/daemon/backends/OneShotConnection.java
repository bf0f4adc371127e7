package io.flamingogap.daemon.backends;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.request.Answer;

/**
 * Connection that is opened for a single call and closed after it.
 * <p>
 * The pooling client of the JDK reuses connections even for requests that ask to close
 * them, and if the server closes a reused connection, the outcome of the call is unknown.
 * This class opens the connection in a separate step. If that step fails, nothing was
 * sent; after any later failure, the request may have been sent. The body is streamed
 * with a fixed length, which prevents the JDK from sending the request again.
 */
final class OneShotConnection {

	private static final int READ_BUFFER_BYTES = 8_192;

	private static final int FIRST_ERROR_STATUS = 400;

	private final BackendServer server;

	private final BackendCall call;

	private final long connectTimeoutMillis;

	private final long timeoutMillis;

	OneShotConnection(BackendServer server, BackendCall call, long connectTimeoutMillis, long timeoutMillis) {
		this.server = server;
		this.call = call;
		this.connectTimeoutMillis = connectTimeoutMillis;
		this.timeoutMillis = timeoutMillis;
	}

	CallResult run() {
		HttpURLConnection connection = null;
		try {
			connection = createConnection();
			connection.connect();
		}
		catch (IOException ex) {
			disconnect(connection);
			return new CallResult.NotSent(Failure.notRun(ProblemType.NO_BACKEND, Step.CONNECT, this.server.name(),
					"no connection to " + this.server.address() + ": " + ex.getMessage()));
		}
		try {
			return new CallResult.Answered(sendAndReceive(connection));
		}
		catch (SocketTimeoutException ex) {
			return lostResult("no answer within " + this.timeoutMillis + " ms");
		}
		catch (IOException ex) {
			return lostResult("connection broke: " + ex.getMessage());
		}
		finally {
			disconnect(connection);
		}
	}

	private HttpURLConnection createConnection() throws IOException {
		URI uri = URI.create("http://" + this.server.address() + this.call.path());
		HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
		connection.setRequestMethod(this.call.method());
		connection.setInstanceFollowRedirects(false);
		connection.setUseCaches(false);
		connection.setConnectTimeout((int) this.connectTimeoutMillis);
		connection.setReadTimeout((int) this.timeoutMillis);
		connection.setRequestProperty("Connection", "close");
		connection.setRequestProperty("Content-Type", this.call.contentType());
		connection.setRequestProperty("X-Account", this.call.account());
		connection.setRequestProperty("X-Deadline-Millis", String.valueOf(this.call.remainingMillis()));
		if (this.call.idempotencyKey() != null) {
			connection.setRequestProperty("Idempotency-Key", this.call.idempotencyKey());
		}
		connection.setDoOutput(true);
		connection.setFixedLengthStreamingMode(this.call.body().length);
		return connection;
	}

	private Answer sendAndReceive(HttpURLConnection connection) throws IOException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.timeoutMillis);
		try (OutputStream out = connection.getOutputStream()) {
			out.write(this.call.body());
		}
		int status = connection.getResponseCode();
		if (status < 0) {
			throw new IOException("no HTTP status");
		}
		String contentType = connection.getContentType();
		byte[] body = readBody(connection, status, deadlineNanos);
		return new Answer(status, (contentType != null) ? contentType : "application/octet-stream", body);
	}

	private byte[] readBody(HttpURLConnection connection, int status, long deadlineNanos) throws IOException {
		InputStream in = (status >= FIRST_ERROR_STATUS) ? connection.getErrorStream() : connection.getInputStream();
		if (in == null) {
			return new byte[0];
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		byte[] buffer = new byte[READ_BUFFER_BYTES];
		for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
			body.write(buffer, 0, count);
			if (System.nanoTime() > deadlineNanos) {
				throw new SocketTimeoutException("the answer is incomplete after the timeout");
			}
		}
		return body.toByteArray();
	}

	private CallResult lostResult(String detail) {
		return new CallResult.Lost(
				new Failure(ProblemType.OUTCOME_UNKNOWN, Step.DISPATCH, this.server.name(), Execution.UNKNOWN, detail));
	}

	private static void disconnect(@Nullable HttpURLConnection connection) {
		if (connection != null) {
			connection.disconnect();
		}
	}

}
