package io.flamingogap.cli;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.testkit.backends.ScriptedServer;
import io.flamingogap.testkit.backends.ServerScript;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link NodeClient} with nodes that send malformed or broken answers.
 */
class NodeClientTests {

	private static final String BODY = "{\"offset\":7}";

	private static boolean fails(Runnable call) {
		try {
			call.run();
			return false;
		}
		catch (CliException ex) {
			return true;
		}
	}

	@Test
	void validAnswerIsRead() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE)) {
			server.setResponse("HTTP/1.1 200 OK\r\n\r\n" + BODY);
			assertThat(new NodeClient(server.address(), "key").get("nodes").path("offset").asInt(), is(7));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK",
			"HTTP/1.1 200 OK\r\nX Note: 1", "HTTP/1.1 200 OK\r\nX-Note : 1", "HTTP/1.1 200 OK\r\nX\u0001Note: 1",
			"HTTP/1.1 200 OK\r\nContent-Length x: 1", "HTTP/1.1 200 OK\r\nContent-Length : 1",
			"HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\nHTTP/1.1 200 OK" })
	void malformedAnswerIsAFailure(String head) {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE)) {
			server.setResponse(head + "\r\n\r\n" + BODY);
			assertThat(fails(() -> new NodeClient(server.address(), "key").get("nodes")), is(true));
		}
	}

	@Test
	void answerThatIsResetWhileTheRequestIsWrittenIsAFailure() {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_EARLY_AND_RESET)) {
			server.setResponse("HTTP/1.1 200 OK\r\n\r\n" + BODY);
			assertThat(fails(() -> new NodeClient(server.address(), "key").post("config", "x".repeat(16_777_216))),
					is(true));
		}
	}

}
