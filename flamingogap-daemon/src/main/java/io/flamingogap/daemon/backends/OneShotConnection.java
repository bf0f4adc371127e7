package io.flamingogap.daemon.backends;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
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
 * This class opens the connection in a separate step, which sends nothing. After a
 * failure of {@link #exchange}, the request may have been sent. The body is streamed with
 * a fixed length, which prevents the JDK from sending the request again.
 */
public final class OneShotConnection implements AutoCloseable {

	private static final int READ_BUFFER_BYTES = 8_192;

	private static final int FIRST_ERROR_STATUS = 400;

	private final BackendServer server;

	private final byte[] body;

	private final HttpURLConnection connection;

	private final long timeoutMillis;

	private OneShotConnection(BackendServer server, byte[] body, HttpURLConnection connection, long timeoutMillis) {
		this.server = server;
		this.body = body;
		this.connection = connection;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Open a connection. Nothing of the call is sent.
	 * @param server the backend server
	 * @param call the call to send over the connection
	 * @param connectTimeoutMillis the timeout for opening the connection
	 * @param timeoutMillis the maximum time to wait for the complete answer
	 * @return the connection, or why there is none
	 */
	static Either<CallResult.NotSent, OneShotConnection> open(BackendServer server, BackendCall call,
			long connectTimeoutMillis, long timeoutMillis) {
		HttpURLConnection connection = null;
		try {
			connection = createConnection(server, call, connectTimeoutMillis, timeoutMillis);
			connection.connect();
			return Either.right(new OneShotConnection(server, call.body(), connection, timeoutMillis));
		}
		catch (IOException ex) {
			disconnect(connection);
			return Either.left(new CallResult.NotSent(Failure.notRun(ProblemType.NO_BACKEND, Step.CONNECT,
					server.name(), "no connection to " + server.address() + ": " + ex.getMessage())));
		}
	}

	/**
	 * Send the call and wait for its answer.
	 * @return the answer, or that the outcome is unknown
	 */
	public CallResult exchange() {
		try {
			return new CallResult.Answered(sendAndReceive());
		}
		catch (SocketTimeoutException ex) {
			return lostResult("no answer within " + this.timeoutMillis + " ms");
		}
		catch (IOException ex) {
			return lostResult("connection broke: " + ex.getMessage());
		}
	}

	private static HttpURLConnection createConnection(BackendServer server, BackendCall call, long connectTimeoutMillis,
			long timeoutMillis) throws IOException {
		URI uri = URI.create("http://" + server.address() + call.path());
		HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
		connection.setRequestMethod(call.method());
		connection.setInstanceFollowRedirects(false);
		connection.setUseCaches(false);
		connection.setConnectTimeout((int) connectTimeoutMillis);
		connection.setReadTimeout((int) timeoutMillis);
		connection.setRequestProperty("Connection", "close");
		connection.setRequestProperty("Content-Type", call.contentType());
		connection.setRequestProperty("X-Account", call.account());
		connection.setRequestProperty("X-Deadline-Millis", String.valueOf(call.remainingMillis()));
		if (call.idempotencyKey() != null) {
			connection.setRequestProperty("Idempotency-Key", call.idempotencyKey());
		}
		connection.setDoOutput(true);
		connection.setFixedLengthStreamingMode(call.body().length);
		return connection;
	}

	private Answer sendAndReceive() throws IOException {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.timeoutMillis);
		try (OutputStream out = this.connection.getOutputStream()) {
			out.write(this.body);
		}
		int status = this.connection.getResponseCode();
		if (status < 0) {
			throw new IOException("no HTTP status");
		}
		String contentType = this.connection.getContentType();
		byte[] answerBody = readBody(status, deadlineNanos);
		return new Answer(status, (contentType != null) ? contentType : "application/octet-stream", answerBody);
	}

	private byte[] readBody(int status, long deadlineNanos) throws IOException {
		InputStream in = (status >= FIRST_ERROR_STATUS) ? this.connection.getErrorStream()
				: this.connection.getInputStream();
		if (in == null) {
			return new byte[0];
		}
		ByteArrayOutputStream answerBody = new ByteArrayOutputStream();
		byte[] buffer = new byte[READ_BUFFER_BYTES];
		for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
			answerBody.write(buffer, 0, count);
			if (System.nanoTime() > deadlineNanos) {
				throw new SocketTimeoutException("the answer is incomplete after the timeout");
			}
		}
		return answerBody.toByteArray();
	}

	private CallResult lostResult(String detail) {
		return new CallResult.Lost(
				new Failure(ProblemType.OUTCOME_UNKNOWN, Step.DISPATCH, this.server.name(), Execution.UNKNOWN, detail));
	}

	@Override
	public void close() {
		disconnect(this.connection);
	}

	private static void disconnect(@Nullable HttpURLConnection connection) {
		if (connection != null) {
			connection.disconnect();
		}
	}

}
