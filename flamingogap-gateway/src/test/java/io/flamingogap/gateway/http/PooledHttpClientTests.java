package io.flamingogap.gateway.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link PooledHttpClient}.
 */
class PooledHttpClientTests {

	/** More than the sockets of both sides buffer. */
	private static final int LONG_BODY_BYTES = 16_777_216;

	private static final int LONG_RESPONSE_BYTES = 4_194_304;

	private static final int RECEIVE_BUFFER_BYTES = 16_384;

	private static final byte[] HALF = "HTTP/1.1 200 OK\r\n\r\nhalf".getBytes(StandardCharsets.US_ASCII);

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private ServerSocket server;

	@BeforeEach
	void startServer() throws IOException {
		this.server = new ServerSocket();
		this.server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		this.server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private CompletableFuture<HttpCallResponse> call(int bodyBytes) {
		PooledHttpClient client = new PooledHttpClient(this.loop, new Address("127.0.0.1", this.server.getLocalPort()));
		CompletableFuture<HttpCallResponse> result = new CompletableFuture<>();
		this.loop.execute(() -> client.call(HttpMethod.POST, "/records", Map.of(), new byte[bodyBytes], 5_000)
			.whenComplete((response, failure) -> {
				if (failure != null) {
					result.completeExceptionally(failure);
				}
				else {
					result.complete(response);
				}
			}));
		return result;
	}

	// Part of a page of records would count as the whole page after the store had reset
	// the connection while the call was still being written.
	@Test
	void responseThatIsResetWhileTheCallIsWrittenIsNotComplete() throws Exception {
		CompletableFuture<HttpCallResponse> result = call(LONG_BODY_BYTES);
		try (Socket connection = this.server.accept()) {
			connection.getInputStream().read();
			connection.getOutputStream().write(HALF);
			// Lets the response arrive before the reset.
			TimeUnit.MILLISECONDS.sleep(100);
			connection.setSoLinger(true, 0);
		}
		Object outcome = result.handle((response, failure) -> (failure != null) ? failure : response)
			.get(5, TimeUnit.SECONDS);
		assertThat(outcome, instanceOf(HttpCallException.class));
	}

	// Headers that shared the decoder's memory would change with the next response.
	@Test
	void headersOfAResponseOutliveTheNextResponseOfTheConnection() throws Exception {
		PooledHttpClient client = new PooledHttpClient(this.loop, new Address("127.0.0.1", this.server.getLocalPort()));
		CompletableFuture<HttpCallResponse> first = callOf(client);
		try (Socket connection = this.server.accept()) {
			respond(connection, "Note: first");
			assertThat(first.get(5, TimeUnit.SECONDS).header("note").orElseThrow(), is("first"));
			CompletableFuture<HttpCallResponse> second = callOf(client);
			respond(connection, "Noon: other");
			assertThat(second.get(5, TimeUnit.SECONDS).header("noon").orElseThrow(), is("other"));
		}
		assertThat(first.get().header("note").orElseThrow(), is("first"));
		assertThat(first.get().header("noon").isPresent(), is(false));
	}

	private CompletableFuture<HttpCallResponse> callOf(PooledHttpClient client) {
		return CompletableFuture
			.supplyAsync(() -> client.call(HttpMethod.GET, "/records", Map.of(), new byte[0], 5_000), this.loop)
			.thenCompose((response) -> response);
	}

	private static void respond(Socket connection, String header) throws IOException {
		StringBuilder request = new StringBuilder();
		while (request.indexOf("\r\n\r\n") < 0) {
			request.append((char) connection.getInputStream().read());
		}
		connection.getOutputStream()
			.write(("HTTP/1.1 200 OK\r\n" + header + "\r\nContent-Length: 0\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
	}

	// A write with status 000 would count as refused, although the store may have
	// executed
	// it, and part of a page as the whole page.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nhalf",
			"HTTP/1.1 0200 OK\r\nContent-Length: 4\r\n\r\nhalf",
			"HTTP/1.1 200 OK\r\nContent-Length x: 4\r\n\r\nhalf of the page",
			"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nhalf of the page",
			"HTTP/1.1 200 OK\r\n Content-Length: 4\r\n\r\nhalf of the page",
			"HTTP/1.1 200 OK\r\nX-Note: 1\r\n 2\r\nContent-Length: 4\r\n\r\nhalf" })
	void malformedResponseIsAFailureThatMayHaveTakenEffect(String response) throws Exception {
		CompletableFuture<HttpCallResponse> result = call(1);
		try (Socket connection = this.server.accept()) {
			connection.getInputStream().read();
			connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
			connection.shutdownOutput();
			Object outcome = result.handle((received, failure) -> (failure != null) ? failure : received)
				.get(5, TimeUnit.SECONDS);
			assertThat(outcome, instanceOf(HttpCallException.class));
			assertThat(((HttpCallException) outcome).mayHaveTakenEffect(), is(true));
		}
	}

	@Test
	void responseInManyPiecesIsComplete() throws Exception {
		CompletableFuture<HttpCallResponse> result = call(1);
		try (Socket connection = this.server.accept()) {
			connection.getInputStream().read();
			connection.getOutputStream()
				.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			connection.getOutputStream()
				.write("1\r\nx\r\n".repeat(LONG_RESPONSE_BYTES).getBytes(StandardCharsets.US_ASCII));
			connection.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			assertThat(result.get(5, TimeUnit.SECONDS).body().length, is(LONG_RESPONSE_BYTES));
		}
	}

	@Test
	void responseBeyondTheLimitIsAFailure() throws Exception {
		CompletableFuture<HttpCallResponse> result = call(1);
		try (Socket connection = this.server.accept()) {
			connection.getInputStream().read();
			connection.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			CompletableFuture.runAsync(() -> writeUntilClosed(connection));
			Object outcome = result.handle((response, failure) -> (failure != null) ? failure : response)
				.get(5, TimeUnit.SECONDS);
			assertThat(outcome, instanceOf(HttpCallException.class));
			assertThat(((HttpCallException) outcome).getMessage(), containsString("bytes"));
		}
	}

	private static void writeUntilClosed(Socket connection) {
		try {
			while (!connection.isClosed()) {
				connection.getOutputStream().write(new byte[RECEIVE_BUFFER_BYTES]);
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	@Test
	void interimResponseIsNotTheResponse() throws Exception {
		CompletableFuture<HttpCallResponse> result = call(1);
		try (Socket connection = this.server.accept()) {
			connection.getInputStream().read();
			connection.getOutputStream()
				.write("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
					.getBytes(StandardCharsets.US_ASCII));
			assertThat(result.get(5, TimeUnit.SECONDS).status(), is(200));
		}
	}

	@Test
	void responseWhoseConnectionIsClosedIsComplete() throws Exception {
		CompletableFuture<HttpCallResponse> result = call(1);
		try (Socket connection = this.server.accept()) {
			connection.getInputStream().read();
			connection.getOutputStream().write(HALF);
			connection.shutdownOutput();
			assertThat(new String(result.get(5, TimeUnit.SECONDS).body(), StandardCharsets.US_ASCII), is("half"));
		}
	}

}
