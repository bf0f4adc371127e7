package io.flamingogap.daemon.backends;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.daemon.http.JdkHttpProperties;
import io.flamingogap.testkit.backends.ScriptedServer;
import io.flamingogap.testkit.backends.ServerScript;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests that an unrepeatable call of {@link BackendClient} is sent at most once and never
 * receives another call's answer, even if the server closes connections, doesn't answer,
 * answers late or answers twice.
 */
class BackendClientTests {

	private static final long TIMEOUT_MILLIS = 300;

	static {
		JdkHttpProperties.configure();
	}

	private final BackendClient client = new BackendClient(500);

	private CallResult callOnce(String address) {
		BackendServer server = new BackendServer("desk-a", "desk", "v1", "zone-0", address);
		byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
		Either<CallResult.NotSent, OneShotConnection> opened = this.client.openFor(server,
				new BackendCall("POST", "/bookings", "application/json", body, "buyers", "key", 1_000), TIMEOUT_MILLIS);
		if (opened.isLeft()) {
			return opened.getLeft();
		}
		try (OneShotConnection connection = opened.get()) {
			return connection.exchange();
		}
	}

	@Test
	void unrepeatableCallNeverGoesOverAUsedConnection() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.CLOSE_ON_REUSE)) {
			for (int i = 0; i < 5; i++) {
				assertThat(callOnce(server.address()), instanceOf(CallResult.Answered.class));
			}
			assertThat(server.connections(), is(5));
		}
	}

	@Test
	void requestThatWasReadAndClosedIsLostAndSentOnce() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.READ_AND_CLOSE)) {
			assertThat(callOnce(server.address()), instanceOf(CallResult.Lost.class));
			assertThat(server.requests(), is(1));
		}
	}

	@Test
	void requestWithoutAnAnswerIsLostAndSentOnce() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.SILENT)) {
			assertThat(callOnce(server.address()), instanceOf(CallResult.Lost.class));
			assertThat(server.requests(), is(1));
		}
	}

	@Test
	void lateAnswerIsNotGivenToTheNextRequest() throws InterruptedException {
		try (ScriptedServer server = new ScriptedServer(ServerScript.ANSWER_LATE)) {
			assertThat(callOnce(server.address()), instanceOf(CallResult.Lost.class));
			server.setScript(ServerScript.SILENT);
			Thread.sleep(ScriptedServer.LATE_MILLIS);
			assertThat(callOnce(server.address()), instanceOf(CallResult.Lost.class));
		}
	}

	@Test
	void doubledAnswerIsNotGivenToTheNextRequest() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.ANSWER_TWICE)) {
			assertThat(callOnce(server.address()), instanceOf(CallResult.Answered.class));
			server.setScript(ServerScript.SILENT);
			assertThat(callOnce(server.address()), instanceOf(CallResult.Lost.class));
		}
	}

	@Test
	void refusedConnectionProvesThatNothingWasSent() throws IOException {
		int port;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			port = socket.getLocalPort();
		}
		assertThat(callOnce("127.0.0.1:" + port), instanceOf(CallResult.NotSent.class));
	}

}
