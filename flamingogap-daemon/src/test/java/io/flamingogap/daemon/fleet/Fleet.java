package io.flamingogap.daemon.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;

import io.flamingogap.core.text.Digests;
import io.flamingogap.daemon.FlamingogapDaemon;
import io.flamingogap.testkit.backends.FakeEngine;
import io.flamingogap.testkit.backends.FakePlainService;
import io.flamingogap.testkit.check.CallerClient;
import io.flamingogap.testkit.check.CallerClient.EntryNodeReply;
import io.flamingogap.testkit.http.Json;
import io.flamingogap.testkit.net.FaultyLink;
import io.flamingogap.testkit.net.FreePorts;
import io.flamingogap.testkit.platform.FakeCloud;
import io.flamingogap.testkit.platform.FakeLog;

/**
 * Daemon processes on loopback. Fakes of the platform and of the backend servers run in
 * the test process. A link that can inject faults is in front of the node port of each
 * daemon, of the platform log and of each backend server.
 */
final class Fleet implements AutoCloseable {

	static final String ACCOUNT_KEY = "account-key";

	static final String OPERATOR_KEY = "operator-key";

	private static final int ENGINE_COUNT = 2;

	private final HttpClient http = HttpClient.newHttpClient();

	private final Path directory;

	private final FakeLog log = new FakeLog(0);

	private final FakeCloud cloud = new FakeCloud(0);

	private final FaultyLink logLink = new FaultyLink(this.log.address());

	private final List<FakeEngine> engines = new ArrayList<>();

	private final List<FaultyLink> engineLinks = new ArrayList<>();

	private final FakePlainService plainService = new FakePlainService(0, 20);

	private final FaultyLink plainServiceLink = new FaultyLink(this.plainService.address());

	private final List<Daemon> daemons = new ArrayList<>();

	private final List<FaultyLink> nodeLinks = new ArrayList<>();

	private Fleet(Path directory) {
		this.directory = directory;
		for (int i = 0; i < ENGINE_COUNT; i++) {
			this.engines.add(new FakeEngine(0, 30, 10));
			this.engineLinks.add(new FaultyLink(this.engines.get(i).address()));
		}
	}

	/**
	 * Start daemons, each in its own zone, and wait until a manifest is in force.
	 * @param count the number of daemons
	 * @return the running fleet
	 */
	static Fleet start(int count) throws Exception {
		Fleet fleet = new Fleet(Files.createTempDirectory("flamingogap-fleet"));
		try {
			fleet.startDaemons(count);
			return fleet;
		}
		catch (Exception | AssertionError ex) {
			fleet.close();
			throw ex;
		}

	}

	private void startDaemons(int count) throws Exception {
		for (int i = 0; i < count; i++) {
			addDaemon(i);
		}
		await("all nodes know each other", () -> allDaemonsSeeServingNodes(count));
		applyManifest(manifest());
	}

	private void addDaemon(int index) throws IOException {
		List<Integer> ports = FreePorts.take(3);
		FaultyLink link = new FaultyLink("127.0.0.1:" + ports.get(1));
		this.nodeLinks.add(link);
		String seeds = (index == 0) ? "" : "\"" + this.nodeLinks.get(0).address() + "\"";
		Path settings = this.directory.resolve("entry-" + index + ".toml");
		Files.writeString(settings, """
				[node]
				name = "entry-%d"
				zone = "zone-%d"
				[listen]
				callerAddress = "127.0.0.1:%d"
				nodeAddress = "127.0.0.1:%d"
				adminAddress = "127.0.0.1:%d"
				advertisedNodeAddress = "%s"
				[nodes]
				sharedSecret = "a-secret-for-the-tests"
				seedAddresses = [%s]
				heartbeatMillis = 200
				silentMillis = 600
				[platform]
				logAddress = "%s"
				cloudAddress = "%s"
				cloudPollMillis = 100
				logTimeoutMillis = 500
				logWaitMillis = 300
				snapshotMillis = 300
				[callers]
				entryTtlMillis = 1000
				[requests]
				answerTimeoutMillis = 3000
				connectTimeoutMillis = 500
				stopMarginMillis = 1500
				[operators]
				bootstrapName = "release-pipeline"
				bootstrapKeyDigest = "%s"
				[log]
				""".formatted(index, index, ports.get(0), ports.get(1), ports.get(2), link.address(), seeds,
				this.logLink.address(), this.cloud.address(), Digests.sha256(OPERATOR_KEY)));
		this.daemons
			.add(Daemon.start(settings, "127.0.0.1:" + ports.get(0), "127.0.0.1:" + ports.get(2), this.directory));
	}

	void killAll() {
		this.daemons.forEach(Daemon::kill);
	}

	/**
	 * Start one more daemon without waiting until it is ready.
	 * @return the index of the daemon
	 */
	int startNode() throws IOException {
		int index = this.daemons.size();
		addDaemon(index);
		return index;
	}

	String manifest() {
		return manifestWithPlainService(this.plainServiceLink.address());
	}

	/**
	 * Return the manifest with another address of the plain service.
	 * @param address the address as {@code IP:PORT}
	 * @return a TOML document
	 */
	String manifestWithPlainService(String address) {
		return FleetManifest.of(this.daemons.size(), this.engineLinks.stream().map(FaultyLink::address).toList(),
				address);
	}

	/**
	 * Return the manifest with a rollout of the plain service that starts now.
	 * @param candidateAddress the address of the backend server that runs the candidate
	 * @param durationSeconds the time until the deadline
	 * @return a TOML document
	 */
	String manifestWithRollout(String candidateAddress, long durationSeconds) {
		return manifest()
				+ FleetManifest.rolloutSection(candidateAddress, System.currentTimeMillis() / 1_000, durationSeconds);
	}

	/**
	 * Publish a manifest through the first daemon and wait until it is in force at all
	 * daemons.
	 * @param manifest a TOML document
	 */
	void applyManifest(String manifest) throws Exception {
		long baseOffset = operatorGet(0, "manifest").get("offset").asLong();
		JsonNode verdict = publish(0, "change-" + System.nanoTime(), baseOffset, manifest);
		long offset = verdict.path("offset").asLong();
		for (int i = 0; i < this.daemons.size(); i++) {
			int index = i;
			await("offset " + offset + " in force at node " + index, () -> configOffset(index) >= offset);
		}
	}

	JsonNode publish(int daemon, String id, long baseOffset, String manifest) throws Exception {
		Map<String, Object> change = Map.of("id", id, "baseOffset", baseOffset, "manifest", manifest);
		return operator(daemon, "manifests",
				HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.ofString(Json.write(change))));
	}

	long configOffset(int daemon) throws Exception {
		JsonNode status = operatorGet(daemon, "status");
		if (!status.has("configOffset")) {
			throw new IllegalStateException("the process at " + address(daemon) + " answered " + status);
		}
		return status.get("configOffset").asLong();
	}

	private boolean allDaemonsSeeServingNodes(int count) throws Exception {
		for (int i = 0; i < count; i++) {
			if (countServingNodes(i) != count) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Return the number of serving nodes that a daemon reports as reachable.
	 * @param daemon the index of the daemon
	 * @return the count, including the daemon itself
	 */
	int countServingNodes(int daemon) throws Exception {
		int serving = 0;
		JsonNode members = operatorGet(daemon, "nodes");
		if (!members.isArray()) {
			throw new IllegalStateException("the process at " + address(daemon) + " answered " + members);
		}
		for (JsonNode member : members) {
			if (member.get("reachable").asBoolean() && "SERVING".equals(member.get("state").asText())) {
				serving++;
			}
		}
		return serving;
	}

	JsonNode operatorGet(int daemon, String resource) throws Exception {
		return operator(daemon, resource, HttpRequest.newBuilder().GET());
	}

	JsonNode operatorPost(int daemon, String resource) throws Exception {
		return operator(daemon, resource, HttpRequest.newBuilder().POST(HttpRequest.BodyPublishers.noBody()));
	}

	JsonNode operatorGetAs(String key, int daemon, String resource) throws Exception {
		return operator(key, daemon, resource, HttpRequest.newBuilder().GET());
	}

	private JsonNode operator(int daemon, String resource, HttpRequest.Builder request) throws Exception {
		return operator(OPERATOR_KEY, daemon, resource, request);
	}

	private JsonNode operator(String key, int daemon, String resource, HttpRequest.Builder request) throws Exception {
		HttpRequest built = request.uri(URI.create("http://" + address(daemon) + "/operator/v1/" + resource))
			.header("Authorization", "Bearer " + key)
			.build();
		return Json.parse(this.http.send(built, HttpResponse.BodyHandlers.ofString()).body());
	}

	/**
	 * Wait until a condition is true, and fail the test if that takes too long.
	 * @param description the text that names the condition in the failure
	 * @param condition the condition; an I/O failure counts as false
	 */
	void await(String description, Callable<Boolean> condition) throws Exception {
		ConditionPoller.await(description + "; logs in " + this.directory, condition);
	}

	/**
	 * Return which daemon owns a key.
	 * @param daemon the index of the daemon to ask
	 * @param key the idempotency key
	 * @param fallback the index to return if the daemon doesn't report an owner
	 * @return the index of the owner
	 */
	int ownerIndex(int daemon, String key, int fallback) throws Exception {
		String owner = operatorGet(daemon, "requests/" + key).path("owner").asText();
		for (int i = 0; i < this.daemons.size(); i++) {
			if (owner.startsWith("entry-" + i + "~")) {
				return i;
			}
		}
		return fallback;
	}

	/**
	 * Return the row for a daemon in its own entry answers. Several answers may be
	 * needed, because each lists a different selection of nodes.
	 * @param daemon the index of the daemon
	 * @return the row, with the key prefix that the daemon issues
	 */
	EntryNodeReply entryOf(int daemon) {
		for (int attempt = 0; attempt < 2 * size(); attempt++) {
			for (EntryNodeReply node : caller().entry(address(daemon)).nodes()) {
				if (node.address().equals(address(daemon))) {
					return node;
				}
			}
		}
		throw new IllegalStateException("node " + daemon + " isn't in its own entry answers");
	}

	int size() {
		return this.daemons.size();
	}

	CallerClient caller() {
		return new CallerClient(ACCOUNT_KEY);
	}

	/**
	 * Send a GET request to a daemon's admin port.
	 * @param daemon the index of the daemon
	 * @param path the path of the resource
	 * @return the status and the body
	 */
	HttpResponse<String> adminGet(int daemon, String path) throws Exception {
		URI uri = URI.create("http://" + this.daemons.get(daemon).adminAddress() + path);
		return this.http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
	}

	String address(int daemon) {
		return this.daemons.get(daemon).callerAddress();
	}

	Daemon daemon(int index) {
		return this.daemons.get(index);
	}

	FakeLog log() {
		return this.log;
	}

	FaultyLink logLink() {
		return this.logLink;
	}

	FakeCloud cloud() {
		return this.cloud;
	}

	FakeEngine engine(int index) {
		return this.engines.get(index);
	}

	FaultyLink engineLink(int index) {
		return this.engineLinks.get(index);
	}

	FakePlainService plainService() {
		return this.plainService;
	}

	FaultyLink plainServiceLink() {
		return this.plainServiceLink;
	}

	FaultyLink nodeLink(int daemon) {
		return this.nodeLinks.get(daemon);
	}

	@Override
	public void close() {
		this.daemons.forEach(Daemon::kill);
		this.nodeLinks.forEach(FaultyLink::close);
		this.engineLinks.forEach(FaultyLink::close);
		this.engines.forEach(FakeEngine::close);
		this.plainServiceLink.close();
		this.plainService.close();
		this.logLink.close();
		this.log.close();
		this.cloud.close();
	}

	/**
	 * Daemon process.
	 *
	 * @param process the running process
	 * @param callerAddress the address on which the daemon accepts callers
	 * @param adminAddress the address on which the daemon accepts health checks
	 */
	record Daemon(Process process, String callerAddress, String adminAddress) {

		static Daemon start(Path settings, String callerAddress, String adminAddress, Path directory)
				throws IOException {
			String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
			ProcessBuilder builder = new ProcessBuilder(java, "-Xmx128m", "-XX:TieredStopAtLevel=1", "-cp",
					System.getProperty("java.class.path"), FlamingogapDaemon.class.getName(), "--settings",
					settings.toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(directory.resolve(settings.getFileName() + ".log").toFile());
			return new Daemon(builder.start(), callerAddress, adminAddress);
		}

		void kill() {
			this.process.destroyForcibly();
			this.process.onExit().join();
		}

		void freeze() throws IOException, InterruptedException {
			signal("STOP");
		}

		void resume() throws IOException, InterruptedException {
			signal("CONT");
		}

		void terminate() throws IOException, InterruptedException {
			signal("TERM");
		}

		private void signal(String name) throws IOException, InterruptedException {
			new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).start().waitFor();
		}

	}

}
