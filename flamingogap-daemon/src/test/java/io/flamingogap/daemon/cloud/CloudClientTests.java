package io.flamingogap.daemon.cloud;

import java.net.http.HttpClient;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.node.Address;
import io.flamingogap.testkit.backends.ScriptedServer;
import io.flamingogap.testkit.backends.ServerScript;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link CloudClient} with malformed answers.
 */
class CloudClientTests {

	private static final String NOTICES = "\r\n\r\n{\"notices\":[]}";

	private final HttpClient httpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private boolean areNoticesRead(String response) {
		try (ScriptedServer server = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE)) {
			server.setResponse(response);
			return new CloudClient(this.httpClient, Address.parse(server.address())).notices().isRight();
		}
	}

	@Test
	void validAnswerIsRead() {
		assertThat(areNoticesRead("HTTP/1.1 200 OK" + NOTICES), is(true));
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 200 OK\r\nX Note: 1",
			"HTTP/1.1 200 OK\r\nX-Note : 1", "HTTP/1.1 200 OK\r\nX\u0001Note: 1",
			"HTTP/1.1 200 OK\r\nContent-Length x: 14", "HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\nHTTP/1.1 200 OK" })
	void malformedAnswerIsAFailure(String head) {
		assertThat(areNoticesRead(head + NOTICES), is(false));
	}

}
