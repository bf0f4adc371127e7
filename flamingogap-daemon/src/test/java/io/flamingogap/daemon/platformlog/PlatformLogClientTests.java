package io.flamingogap.daemon.platformlog;

import java.net.http.HttpClient;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.node.Address;
import io.flamingogap.testkit.backends.ScriptedServer;
import io.flamingogap.testkit.backends.ServerScript;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link PlatformLogClient} with malformed or broken answers.
 */
class PlatformLogClientTests {

	private static final String APPENDED = "{\"offset\":7}";

	private final HttpClient httpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private PlatformLogClient logClient(ScriptedServer server) {
		return new PlatformLogClient(this.httpClient, Address.parse(server.address()), 5_000);
	}

	@Test
	void validAnswerIsRead() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE)) {
			server.setResponse("HTTP/1.1 200 OK\r\n\r\n" + APPENDED);
			assertThat(logClient(server).append(PlatformLogClient.AUDIT_STREAM, "{}").get(), is(7L));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 200 OK\r\nX Note: 1",
			"HTTP/1.1 200 OK\r\nX-Note : 1", "HTTP/1.1 200 OK\r\nX\u0001Note: 1",
			"HTTP/1.1 200 OK\r\nContent-Length x: 14", "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\nHTTP/1.1 200 OK" })
	void malformedAnswerIsAFailure(String head) {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE)) {
			server.setResponse(head + "\r\n\r\n" + APPENDED);
			assertThat(logClient(server).append(PlatformLogClient.AUDIT_STREAM, "{}").getLeft().execution(),
					is(Execution.UNKNOWN));
		}
	}

	@Test
	void answerThatIsResetWhileTheCallIsWrittenIsAFailure() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_EARLY_AND_RESET)) {
			server.setResponse("HTTP/1.1 200 OK\r\n\r\n" + APPENDED);
			assertThat(logClient(server).append(PlatformLogClient.AUDIT_STREAM, "x".repeat(16_777_216)).isLeft(),
					is(true));
		}
	}

}
