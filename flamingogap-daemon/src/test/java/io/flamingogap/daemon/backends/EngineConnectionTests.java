package io.flamingogap.daemon.backends;

import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.manifest.ServiceKind;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.daemon.rollouts.VersionChoice;
import io.flamingogap.testkit.backends.ScriptedServer;
import io.flamingogap.testkit.backends.ServerScript;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of {@link EngineConnection} with engines that send malformed or broken answers.
 */
class EngineConnectionTests {

	private static final long TIMEOUT_MILLIS = 5_000;

	/** More than the sockets of both sides buffer. */
	private static final int LONG_BODY_BYTES = 16_777_216;

	private static final String EVENT = "id: r-1:0\ndata: {\"text\":\"a\"}\n\n";

	private final BackendClient client = new BackendClient(500);

	private Either<Failure, TokenEvent> nextAfter(int events, ServerScript script, String response, int bodyBytes)
			throws InterruptedException {
		Service service = new Service("chat", ServiceKind.MODEL, "v1", 1_000, 1_000, List.of());
		StreamCall call = new StreamCall(new VersionChoice(service, "v1", List.of(), null, Arm.CURRENT, "chat"), "r-1",
				"/v1/completions", new byte[bodyBytes], "buyers", 0, 0, 1_000);
		try (ScriptedServer server = new ScriptedServer(script)) {
			server.setResponse(response);
			BackendServer engine = new BackendServer("engine-a", "chat", "v1", "zone-0", server.address());
			try (EngineConnection connection = EngineConnection.open(this.client.streamClient(), engine, call, 0, 0)) {
				for (int i = 0; i < events; i++) {
					assertThat(connection.next(TIMEOUT_MILLIS).isRight(), is(true));
				}
				return connection.next(TIMEOUT_MILLIS);
			}
		}
	}

	private void assertNoEvent(String head) throws InterruptedException {
		Either<Failure, TokenEvent> first = nextAfter(0, ServerScript.RESPOND_AND_CLOSE, head + "\r\n\r\n" + EVENT, 2);
		assertThat(first.isLeft(), is(true));
		// Other types are not tried again at another engine.
		assertThat(first.getLeft().type(), is(ProblemType.BACKEND_FAILED));
	}

	@Test
	void answerWithoutItsLastEventEndsEarly() throws InterruptedException {
		assertThat(
				nextAfter(1, ServerScript.RESPOND_AND_CLOSE, "HTTP/1.1 200 OK\r\n\r\n" + EVENT, 2).getLeft().detail(),
				is("stream ended early"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "000 OK", "000", "001 OK", "099 OK", "600 OK", "999 OK", "0200 OK", "+200 OK", "20 OK",
			"2e2 OK" })
	void answerWithoutAValidStatusIsNoAnswer(String status) throws InterruptedException {
		assertNoEvent("HTTP/1.1 " + status);
	}

	@ParameterizedTest
	@ValueSource(strings = { "X Note: 1", "X\tNote: 1", "X-Note : 1", "X\u0001Note: 1", "X-Note\u0000: 1",
			"X-Note\u007f: 1", "\u0001X-Note: 1", " X-Note: 1", "\tX-Note: 1", "Content-Length x: 9",
			"Content-Length : 9", "Content Length: 9" })
	void answerWithAnInvalidFieldNameIsNoAnswer(String line) throws InterruptedException {
		assertNoEvent("HTTP/1.1 200 OK\r\n" + line);
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 2000 OK", "HTTP/1.1 200 OK\r\nX-Note 1",
			"HTTP/1.1 200 OK\r\nX-Note: 1\r\n X-Note: 2" })
	void headThatTheHttpClientOfTheJdkRepairsIsNoAnswer(String head) throws InterruptedException {
		assertNoEvent(head);
	}

	@ParameterizedTest
	@ValueSource(strings = { "103 Early Hints\r\nX Note: 1", "103 Early Hints\r\nX-Note : 1",
			"103 Early Hints\r\nX\u0001Note: 1", "000 Odd", "099 Odd", "600 Odd" })
	void answerAfterAMalformedInterimHeadIsNoAnswer(String interim) throws InterruptedException {
		assertNoEvent("HTTP/1.1 " + interim + "\r\n\r\nHTTP/1.1 200 OK");
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nx!~: a\tb",
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" })
	void unusualHeadIsAccepted(String head) throws InterruptedException {
		assertThat(nextAfter(0, ServerScript.RESPOND_AND_CLOSE, head + "\r\n\r\n" + EVENT, 2).isRight(), is(true));
	}

	@ParameterizedTest
	@ValueSource(strings = { "\r\n", "Connection: close\r\n\r\n" })
	void answerThatIsResetWhileTheRequestIsWrittenDoesNotEnd(String headers) throws InterruptedException {
		Either<Failure, TokenEvent> second = nextAfter(1, ServerScript.RESPOND_EARLY_AND_RESET,
				"HTTP/1.1 200 OK\r\n" + headers + EVENT, LONG_BODY_BYTES);
		assertThat(second.getLeft().type(), is(ProblemType.BACKEND_FAILED));
		assertThat(second.getLeft().detail(), startsWith("connection broke"));
	}

}
