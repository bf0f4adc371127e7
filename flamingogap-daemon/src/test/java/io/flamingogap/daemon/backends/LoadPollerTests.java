package io.flamingogap.daemon.backends;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.manifest.ServiceKind;
import io.flamingogap.core.routing.ServerQuery;
import io.flamingogap.testkit.backends.ScriptedServer;
import io.flamingogap.testkit.backends.ServerScript;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link LoadPoller} with engines that send malformed reports.
 */
@Timeout(30)
class LoadPollerTests {

	private static final String OK = "HTTP/1.1 200 OK";

	private final ScriptedServer firstEngine = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE);

	private final ScriptedServer secondEngine = new ScriptedServer(ServerScript.RESPOND_AND_CLOSE);

	/**
	 * Poll two engines, of which the first reports 50 requests and the second 10.
	 * @param head the head of the report of the first one
	 * @return the engine that has the lower load as far as the reports were read
	 */
	private String lessLoadedEngine(String head) throws InterruptedException {
		this.firstEngine.setResponse(head + "\r\n\r\n{\"running\":50}");
		this.secondEngine.setResponse(OK + "\r\n\r\n{\"running\":10}");
		Manifest manifest = new Manifest(List.of(),
				List.of(new Service("chat", ServiceKind.MODEL, "v1", 1_000, 1_000, List.of())),
				List.of(new BackendServer("first", "chat", "v1", "zone-0", this.firstEngine.address()),
						new BackendServer("second", "chat", "v1", "zone-0", this.secondEngine.address())),
				List.of(), List.of(), List.of());
		BackendServers servers = new BackendServers(() -> manifest, "zone-0");
		try (ScriptedServer first = this.firstEngine;
				ScriptedServer second = this.secondEngine;
				LoadPoller poller = new LoadPoller(() -> manifest, servers, new BackendClient(500))) {
			poller.start();
			// The second report of each engine is asked for after the first was read.
			while (first.requests() < 2 || second.requests() < 2) {
				TimeUnit.MILLISECONDS.sleep(10);
			}
		}
		return servers.acquire(new ServerQuery("chat", "v1", List.of(), Set.of()), 0).orElseThrow().name();
	}

	@Test
	void reportIsRead() throws InterruptedException {
		assertThat(lessLoadedEngine(OK), is("second"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK",
			"HTTP/1.1 200 OK\r\nX Note: 1", "HTTP/1.1 200 OK\r\nX-Note : 1", "HTTP/1.1 200 OK\r\nX\u0001Note: 1",
			"HTTP/1.1 103 Early Hints\r\nX Note: 1\r\n\r\nHTTP/1.1 200 OK" })
	void malformedReportIsIgnored(String head) throws InterruptedException {
		assertThat(lessLoadedEngine(head), is("first"));
	}

}
