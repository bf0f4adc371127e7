package io.flamingogap.testkit.metadata;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Fake of the users' platform in one process: a metadata store with a configuration, and
 * one registered backend server whose streams have as many events and the same timing as
 * those of the fake engine in the measurements. It also writes the settings file of a
 * node.
 */
public final class UsersPlatform {

	private static final int EVENTS = 50;

	private static final long FIRST_EVENT_MILLIS = 250;

	private static final long EVENT_GAP_MILLIS = 40;

	private static final String ACCOUNT_KEY = "local-account-key";

	/** Deadline of the users' longest routes, in milliseconds. */
	private static final String CALLER_DEADLINE_MILLIS = "15000";

	private static final String ROUTE = """
			{"name":"%1$s","host":"127.0.0.1","prefix":"/%1$s/","kind":"%2$s","timeoutMs":15000,"goalMs":1000,
			"priority":0,"service":"desk","maxAttempts":2,"canResume":false,"public":false}""";

	private final FakeMetadataStore store = new FakeMetadataStore();

	private final FakeBackendServer server;

	/**
	 * Start the platform.
	 * @param backendPort the port of the backend server; 0 for any free one
	 */
	public UsersPlatform(int backendPort) {
		this.server = new FakeBackendServer(backendPort);
		this.server.setEvents(EVENTS, FIRST_EVENT_MILLIS);
		this.server.setEventMillis(EVENT_GAP_MILLIS);
		this.store.write("keyed.op", "config", """
				{"version":1,"routes":[%s,%s],"services":[{"name":"desk","maxConns":1000}],
				"limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,"headerTimeoutMs":2000,"idleTimeoutMs":15000},
				"tenants":[{"name":"growers","apiKeys":["%s"],"ratePerS":0,"burst":0}]}"""
			.formatted(ROUTE.formatted("look", "idempotent"), ROUTE.formatted("stream", "stream"), ACCOUNT_KEY));
		this.store.write("keyed.servers", "only",
				"""
						{"service":"desk","addr":"%s","zone":"z1","version":"v1","slots":1000,"state":"ready","seq":1,"born":1}"""
					.formatted(this.server.address()));
	}

	/**
	 * Return the headers of a caller's request.
	 * @param attempt the id of the attempt
	 * @return the header values by name
	 */
	public static Map<String, String> callerHeaders(String attempt) {
		return Map.of("Authorization", "Bearer " + ACCOUNT_KEY, "Attempt-Id", attempt, "Deadline-Ms",
				CALLER_DEADLINE_MILLIS);
	}

	/**
	 * Write the settings file of a node that uses this platform.
	 * @param file the file to write; it is replaced if it exists
	 * @param ports four ports of the node: for callers, readiness, the directory and
	 * other nodes
	 * @throws IOException if the file can't be written
	 */
	public void writeSettings(Path file, List<Integer> ports) throws IOException {
		Files.writeString(file, """
				{"node":"node-1","zone":"z1","zones":{"z1":"r1"},"ip":"127.0.0.1",
				"listen":{"front":"127.0.0.1:%d","ready":"127.0.0.1:%d","directory":"127.0.0.1:%d"},
				"portRange":[%4$d,%4$d],"bootstrap":true,"limits":{"ramMb":430},
				"bounds":{"graceS":3,"retryRatio":0.2,"retryWindowS":10,"retrySlack":58,"quotaWindowS":8,
				"quotaOver":0.1,"quotaSlack":0,"leaseMs":3000,"windowS":5,"exposeShare":0.1},
				"platform":{"addr":"%5$s"}}""".formatted(ports.get(0), ports.get(1), ports.get(2), ports.get(3),
				this.store.address()));
	}

}
