package io.flamingogap.daemon.backends;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.manifest.ServiceKind;
import io.flamingogap.daemon.tasks.PeriodicTask;

/**
 * Polls the load of model engines. Each round polls the next engines in round-robin
 * order, up to a maximum number.
 */
public final class LoadPoller implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long ROUND_MILLIS = 1_000;

	/** Limits the cost of polling regardless of the number of servers. */
	private static final int SERVERS_PER_ROUND = 32;

	private static final int OK = 200;

	private final Supplier<Manifest> manifest;

	private final BackendServers servers;

	private final BackendClient client;

	private final PeriodicTask task;

	private int nextIndex;

	/**
	 * Create a poller that doesn't run until {@link #start()} is called.
	 * @param manifest supplies the manifest in force
	 * @param servers receives the reported loads
	 * @param client the client for backend servers
	 */
	public LoadPoller(Supplier<Manifest> manifest, BackendServers servers, BackendClient client) {
		this.manifest = manifest;
		this.servers = servers;
		this.client = client;
		this.task = new PeriodicTask("load-reports", () -> ROUND_MILLIS, this::pollRound);
	}

	/**
	 * Start polling.
	 */
	public void start() {
		this.task.start();
	}

	private void pollRound() {
		pollNext(modelEngines(this.manifest.get()));
	}

	private static List<BackendServer> modelEngines(Manifest manifest) {
		Set<String> models = manifest.service()
			.stream()
			.filter((service) -> service.kind() == ServiceKind.MODEL)
			.map(Service::name)
			.collect(Collectors.toSet());
		return manifest.server().stream().filter((server) -> models.contains(server.service())).toList();
	}

	private void pollNext(List<BackendServer> engines) {
		for (int i = 0; i < Math.min(SERVERS_PER_ROUND, engines.size()); i++) {
			BackendServer server = engines.get(this.nextIndex++ % engines.size());
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.address() + "/v1/load"))
				.timeout(Duration.ofMillis(ROUND_MILLIS))
				.build();
			this.client.streamClient()
				.sendAsync(request, HttpResponse.BodyHandlers.ofString())
				.thenAccept((response) -> recordLoad(server, response));
		}
		this.nextIndex = engines.isEmpty() ? 0 : this.nextIndex % engines.size();
	}

	private void recordLoad(BackendServer server, HttpResponse<String> response) {
		try {
			if (response.statusCode() == OK) {
				this.servers.reportLoad(server.name(), MAPPER.readTree(response.body()).path("running").asLong());
			}
		}
		catch (IOException ex) {
			logger.atFine().withCause(ex).log("load report of %s is malformed", server.name());
		}
	}

	@Override
	public void close() {
		this.task.close();
	}

}
