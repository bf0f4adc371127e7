package io.flamingogap.daemon.backends;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.request.Answer;
import io.flamingogap.daemon.http.JdkHttpProperties;
import io.flamingogap.testkit.backends.ScriptedServer;
import io.flamingogap.testkit.backends.ServerScript;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests that an unrepeatable call of {@link BackendClient} is sent at most once and never
 * receives another call's answer, even if the server closes connections, doesn't answer,
 * answers late or answers twice, and that no call receives a malformed or broken answer.
 */
class BackendClientTests {

	private static final long TIMEOUT_MILLIS = 300;

	/** More than the sockets of both sides buffer. */
	private static final int LONG_BODY_BYTES = 16_777_216;

	static {
		JdkHttpProperties.configure();
	}

	private final BackendClient client = new BackendClient(500);

	private CallResult callOnce(String address) {
		return callOnce(address, "{}".getBytes(StandardCharsets.UTF_8));
	}

	private CallResult callOnce(String address, byte[] body) {
		BackendServer server = new BackendServer("desk-a", "desk", "v1", "zone-0", address);
		Either<CallResult.NotSent, OneShotConnection> opened = this.client.openFor(server,
				new BackendCall("POST", "/bookings", "application/json", body, "buyers", "key", 1_000), TIMEOUT_MILLIS);
		if (opened.isLeft()) {
			return opened.getLeft();
		}
		try (OneShotConnection connection = opened.get()) {
			return connection.exchange();
		}
	}

	private CallResult callRepeatable(String address, byte[] body) {
		return this.client.call(new BackendServer("desk-a", "desk", "v1", "zone-0", address),
				new BackendCall("POST", "/stock", "application/json", body, "buyers", null, 1_000), TIMEOUT_MILLIS);
	}

	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 2\r\n\r\nok", "\r\nok",
			"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" })
	void validAnswerIsReturnedUnchanged(String response) {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE)) {
			server.setResponse("HTTP/1.1 409 Conflict\r\nContent-Type: text/plain\r\n" + response);
			for (CallResult result : List.of(callRepeatable(server.address(), new byte[2]),
					callOnce(server.address()))) {
				Answer answer = ((CallResult.Answered) result).answer();
				assertThat(answer.status(), is(409));
				assertThat(answer.contentType(), is("text/plain"));
				assertThat(new String(answer.body(), StandardCharsets.US_ASCII), is("ok"));
			}
		}
	}

	private void assertLost(ServerScript script, String response, int bodyBytes) {
		try (ScriptedServer server = new ScriptedServer(script)) {
			server.setResponse(response);
			assertLostBeforeTheTimeout(callRepeatable(server.address(), new byte[bodyBytes]));
		}
		try (ScriptedServer server = new ScriptedServer(script)) {
			server.setResponse(response);
			assertLostBeforeTheTimeout(callOnce(server.address(), new byte[bodyBytes]));
		}
	}

	private static void assertLostBeforeTheTimeout(CallResult result) {
		assertThat(result, instanceOf(CallResult.Lost.class));
		assertThat(((CallResult.Lost) result).failure().detail(), not(containsString("within")));
	}

	@Test
	void answerToAHeadRequestHasNoBody() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.ANSWER)) {
			server.setResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
			CallResult result = this.client.call(new BackendServer("desk-a", "desk", "v1", "zone-0", server.address()),
					new BackendCall("HEAD", "/stock", "text/plain", new byte[0], "buyers", null, 1_000),
					TIMEOUT_MILLIS);
			assertThat(((CallResult.Answered) result).answer().body().length, is(0));
		}
	}

	// Callers got status 000 from a server in trouble.
	@ParameterizedTest
	@ValueSource(strings = { "000 OK", "000", "099 OK", "600 OK", "999 OK", "0200 OK", "+200 OK", "2000 OK", "20 OK",
			"2e2 OK" })
	void answerWithoutAValidStatusIsNoAnswer(String status) {
		assertLost(ServerScript.RESPOND_AND_CLOSE, "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok", 2);
	}

	// Callers got a content type with the line as its end, or the first byte of the body.
	@ParameterizedTest
	@ValueSource(strings = { "X Note: 1", "X\tNote: 1", "X-Note : 1", "X-Note 1", "X\u0001Note: 1", "X-Note\u0000: 1",
			"X-Note\u007f: 1", "\u0001X-Note: 1", " X-Note: 1", "\tX-Note: 1", "X-Note: 1\r\n X-Note: 2",
			"Content-Length x: 1", "Content-Length : 1", "Content Length: 1", " Content-Length: 1" })
	void answerWithAnInvalidFieldNameIsNoAnswer(String lines) {
		assertLost(ServerScript.RESPOND_AND_CLOSE,
				"HTTP/1.1 200 OK\r\n" + lines + "\r\nContent-Type: text/plain\r\n\r\nok", 2);
	}

	@ParameterizedTest
	@ValueSource(strings = { "103 Early Hints\r\nX Note: 1", "103 Early Hints\r\nX-Note : 1",
			"103 Early Hints\r\nX\u0001Note: 1", "103 Early Hints\r\n X-Note: 1", "000 Odd", "099 Odd", "600 Odd" })
	void answerAfterAMalformedInterimHeadIsNoAnswer(String interim) {
		assertLost(ServerScript.RESPOND_AND_CLOSE,
				"HTTP/1.1 " + interim + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2);
	}

	@ParameterizedTest
	@ValueSource(strings = { "X Note: 1", "X-Note : 1", "X\u0001Note: 1", "X-Note", " X-Note: 1" })
	void answerWithAMalformedTrailerIsNoAnswer(String line) {
		assertLost(ServerScript.RESPOND_AND_CLOSE,
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n", 2);
	}

	// Callers got the received part of the answer to a booking as the whole answer.
	@ParameterizedTest
	@ValueSource(strings = { "\r\nhal", "Content-Length: 4\r\n\r\nhal", "Transfer-Encoding: chunked\r\n\r\n4\r\nhal",
			"Transfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n" })
	void answerThatIsResetWhileTheRequestIsWrittenIsNoAnswer(String response) {
		assertLost(ServerScript.RESPOND_EARLY_AND_RESET, "HTTP/1.1 200 OK\r\n" + response, LONG_BODY_BYTES);
	}

	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 4\r\n\r\nhal", "Transfer-Encoding: chunked\r\n\r\n4\r\nhal",
			"Transfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n", "Content-Type: text/plain\r\n", "Content-Length" })
	void answerThatIsCutIsNoAnswer(String response) {
		assertLost(ServerScript.RESPOND_AND_CLOSE, "HTTP/1.1 200 OK\r\n" + response, 2);
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
