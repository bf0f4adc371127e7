package io.flamingogap.daemon.platformlog;

import java.net.http.HttpClient;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.error.Execution;
import io.flamingogap.core.node.Address;
import io.flamingogap.daemon.cloud.CloudClient;
import io.flamingogap.testkit.backends.ScriptedServer;
import io.flamingogap.testkit.backends.ServerScript;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link PlatformLogClient} and {@link CloudClient} with peers that send
 * malformed or broken answers.
 */
class PlatformLogClientTests {

	private static final String APPENDED = "{\"offset\":7}";

	private static final String NOTICES = "{\"notices\":[]}";

	private final HttpClient httpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private PlatformLogClient logClient(ScriptedServer server) {
		return new PlatformLogClient(this.httpClient, Address.parse(server.address()), 5_000);
	}

	private CloudClient cloudClient(ScriptedServer server) {
		return new CloudClient(this.httpClient, Address.parse(server.address()));
	}

	@Test
	void validAnswersAreRead() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE)) {
			server.setResponse("HTTP/1.1 200 OK\r\n\r\n" + APPENDED);
			assertThat(logClient(server).append(PlatformLogClient.AUDIT_STREAM, "{}").get(), is(7L));
			server.setResponse("HTTP/1.1 200 OK\r\n\r\n" + NOTICES);
			assertThat(cloudClient(server).notices().get().isEmpty(), is(true));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 200 OK\r\nX Note: 1",
			"HTTP/1.1 200 OK\r\nX-Note : 1", "HTTP/1.1 200 OK\r\nX\u0001Note: 1",
			"HTTP/1.1 200 OK\r\nContent-Length x: 14" })
	void malformedAnswersAreFailures(String head) {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE)) {
			server.setResponse(head + "\r\n\r\n" + APPENDED);
			assertThat(logClient(server).append(PlatformLogClient.AUDIT_STREAM, "{}").getLeft().execution(),
					is(Execution.UNKNOWN));
			server.setResponse(head + "\r\n\r\n" + NOTICES);
			assertThat(cloudClient(server).notices().isLeft(), is(true));
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
