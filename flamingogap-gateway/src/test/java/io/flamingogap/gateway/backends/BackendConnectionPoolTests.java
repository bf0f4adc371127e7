package io.flamingogap.gateway.backends;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.OptionalLong;
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
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.gateway.callers.CallerRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link BackendConnectionPool}.
 */
class BackendConnectionPoolTests {

	private static final int NO_MORE_BYTES = -1;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final BackendConnectionPool pool = new BackendConnectionPool(this.loop, new PlainProtocol(), () -> 0);

	private ServerSocket server;

	@BeforeEach
	void startServer() throws IOException {
		this.server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private BackendRequest request() {
		CallerRequest request = new CallerRequest("attempt-1", HttpMethod.GET, "/look/1", "desk.example",
				Optional.empty(), OptionalLong.empty(), PromptMetadata.NONE, false, EmptyHttpHeaders.INSTANCE,
				Unpooled.EMPTY_BUFFER);
		ServerRegistration registration = new ServerRegistration("first", "desk",
				new Address("127.0.0.1", this.server.getLocalPort()), "z1", "v1", 8, false, false, 1, 1);
		return new BackendRequest(request, registration, 1_000, Optional.empty(), 0, Optional.empty());
	}

	private int firstByteAfterSendingTo(DepartingServer listener) throws Exception {
		this.loop.submit(() -> {
			this.pool.send(request(), true, listener);
			listener.departed = listener.departsWhileConnecting;
		}).get();
		try (Socket connection = this.server.accept()) {
			connection.setSoTimeout(5_000);
			return connection.getInputStream().read();
		}
	}

	// Requests reached a server whose departure was learnt while the connection to it was
	// opened.
	@Test
	void requestIsNotWrittenToAServerThatDepartsWhileTheConnectionOpens() throws Exception {
		assertThat(firstByteAfterSendingTo(new DepartingServer(true)), is(NO_MORE_BYTES));
	}

	@Test
	void requestIsWrittenOnceTheConnectionIsOpen() throws Exception {
		assertThat(firstByteAfterSendingTo(new DepartingServer(false)), is((int) 'G'));
	}

	/**
	 * Listener that lets a request be written until its server departs.
	 */
	private static final class DepartingServer implements ResponseListener {

		private final boolean departsWhileConnecting;

		private boolean departed;

		private DepartingServer(boolean departsWhileConnecting) {
			this.departsWhileConnecting = departsWhileConnecting;
		}

		@Override
		public boolean maySend() {
			return !this.departed;
		}

		@Override
		public void onHead(BackendResponseHead head) {
		}

		@Override
		public void onBody(ByteBuf chunk) {
		}

		@Override
		public void onComplete() {
		}

		@Override
		public void onFailure(String reason) {
		}

		@Override
		public void onNotSent(String reason) {
		}

	}

	/**
	 * Protocol without headers of its own.
	 */
	private static final class PlainProtocol implements BackendProtocol {

		@Override
		public FullHttpRequest encodeRequest(BackendRequest request) {
			return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.request().method(),
					request.request().uri());
		}

		@Override
		public BackendResponseHead decodeResponseHead(String attemptId, HttpResponse head) {
			throw new IllegalStateException("no response was expected but got " + head.status());
		}

	}

}
