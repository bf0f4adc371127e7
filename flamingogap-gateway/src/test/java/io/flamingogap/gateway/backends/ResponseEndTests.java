package io.flamingogap.gateway.backends;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.callers.CallerRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of responses without a length, which end with their connection, to requests that
 * are still being written.
 */
class ResponseEndTests {

	/** More than the sockets of both sides buffer. */
	private static final int LONG_BODY_BYTES = 16_777_216;

	private static final int RECEIVE_BUFFER_BYTES = 16_384;

	private static final String HEAD = "HTTP/1.1 200 OK\r\n";

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final BackendConnectionPool pool = new BackendConnectionPool(this.loop, new PlainProtocol(), () -> 0);

	private final RecordingListener listener = new RecordingListener();

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

	private void send(int bodyBytes) {
		CallerRequest request = new CallerRequest("attempt-1", HttpMethod.POST, "/book/1", "desk.example",
				Optional.empty(), OptionalLong.empty(), PromptMetadata.NONE, false, EmptyHttpHeaders.INSTANCE,
				Unpooled.wrappedBuffer(new byte[bodyBytes]));
		ServerRegistration registration = new ServerRegistration("first", "desk",
				new Address("127.0.0.1", this.server.getLocalPort()), "z1", "v1", 8, false, false, 1, 1);
		this.loop.execute(() -> this.pool.send(
				new BackendRequest(request, registration, 1_000, Optional.empty(), 0, Optional.empty()), false,
				this.listener));
	}

	private void respond(Socket connection, String headers) throws Exception {
		connection.getInputStream().read();
		connection.getOutputStream()
			.write((HEAD + headers + "\r\nhalf of the answer").getBytes(StandardCharsets.US_ASCII));
		this.listener.bodyBegun.await(5, TimeUnit.SECONDS);
	}

	// Callers got the first half of an answer as a complete success after its server had
	// crashed while the request was still being written.
	@ParameterizedTest
	@ValueSource(strings = { "", "Connection: close\r\n", "Content-Type: text/event-stream\r\n" })
	void responseThatIsResetWhileTheRequestIsWrittenIsNotComplete(String headers) throws Exception {
		send(LONG_BODY_BYTES);
		try (Socket connection = this.server.accept()) {
			respond(connection, headers);
			connection.setSoLinger(true, 0);
		}
		assertThat(this.listener.end(),
				allOf(startsWith("failure"), containsString("the request could not be written")));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "Connection: close\r\n", "Content-Type: text/event-stream\r\n" })
	void responseThatIsResetAfterTheRequestWasWrittenIsNotComplete(String headers) throws Exception {
		send(1);
		try (Socket connection = this.server.accept()) {
			respond(connection, headers);
			connection.setSoLinger(true, 0);
		}
		assertThat(this.listener.end(), startsWith("failure"));
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, LONG_BODY_BYTES })
	void responseWhoseConnectionIsClosedIsComplete(int bodyBytes) throws Exception {
		send(bodyBytes);
		try (Socket connection = this.server.accept()) {
			respond(connection, "");
			connection.shutdownOutput();
			while (connection.getInputStream().skip(RECEIVE_BUFFER_BYTES) > 0) {
				continue;
			}
		}
		assertThat(this.listener.end(), is("complete"));
	}

	/**
	 * Listener that records how the response ended.
	 */
	private static final class RecordingListener implements ResponseListener {

		private final CountDownLatch bodyBegun = new CountDownLatch(1);

		private final CompletableFuture<String> end = new CompletableFuture<>();

		private String end() throws Exception {
			return this.end.get(5, TimeUnit.SECONDS);
		}

		@Override
		public boolean maySend() {
			return true;
		}

		@Override
		public void onHead(BackendResponseHead head) {
		}

		@Override
		public void onBody(ByteBuf chunk) {
			this.bodyBegun.countDown();
		}

		@Override
		public void onComplete() {
			this.end.complete("complete");
		}

		@Override
		public void onFailure(String reason) {
			this.end.complete("failure: " + reason);
		}

		@Override
		public void onNotSent(String reason) {
			this.end.complete("not sent: " + reason);
		}

	}

	/**
	 * Protocol without headers of its own.
	 */
	private static final class PlainProtocol implements BackendProtocol {

		@Override
		public FullHttpRequest encodeRequest(BackendRequest request) {
			FullHttpRequest encoded = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.request().method(),
					request.request().uri(), request.request().body());
			HttpUtil.setContentLength(encoded, request.request().body().readableBytes());
			return encoded;
		}

		@Override
		public BackendResponseHead decodeResponseHead(String attemptId, HttpResponse head) {
			return new BackendResponseHead(head.status(), head.headers(), BackendResponseHead.Verdict.ANSWERED, true,
					false, OptionalLong.empty(), Optional.empty(), 1_000);
		}

	}

}
