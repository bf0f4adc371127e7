package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Starts a platform and entry nodes for one case and keeps its record. The nodes are
 * separate processes, started with the command of the deploy file in the repository.
 */
final class Harness implements AutoCloseable {

	/** The bounds of a small deployment. */
	private static final String BOUNDS = """
			{"seedLagS":3,"reuseAfterS":2,"contactMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":2500,"graceS":8,\
			"lostSlackMs":200,"applyMs":2500,"rollbackSlackMs":250,"stretchMaxMs":6000,"strictRevoke":false,\
			"revokeMs":5000,"retryRatio":0.2,"retryWindowS":10,"retrySlack":52,"quotaWindowS":8,"quotaOver":0.1,\
			"quotaSlack":140000,"fencing":true,"leaseMs":3000,"thawSlackMs":300,"windowS":5,"usageTolerance":0.05,\
			"usageLateS":10,"exposeShare":0.1,"exposeSlack":50,"rollbackMs":5000,"recoverS":12,"passMs":250,\
			"againS":10,"ttl_max_s":5}""";

	static final int BROKEN = 1;

	static final int HELD = 0;

	static final int COULD_NOT_RUN = 2;

	/** Whether the disruption takes place; TROUBLE=0 in the environment leaves it out. */
	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Platform platform = new Platform();

	private final Path repository = Path.of(System.getProperty("review.repository")).toAbsolutePath();

	private final Path folder = Files.createTempDirectory("review-case");

	private final PrintWriter record;

	private final long startedAtNanos = System.nanoTime();

	private final List<Node> nodes = new CopyOnWriteArrayList<>();

	Harness(Path recordFile) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		Runtime.getRuntime()
			.addShutdownHook(new Thread(() -> this.nodes.forEach((node) -> node.process.destroyForcibly())));
		log("trouble: " + this.trouble);
	}

	/** Work of a case or of a stand-in that may fail. */
	interface Work {

		void run() throws Exception;

	}

	/** Case that reports whether the rule held. */
	interface Case {

		boolean holds(Harness harness) throws Exception;

	}

	/** Run a case and exit with 0 if the rule held, 1 if it was broken, 2 if it couldn't run. */
	static void run(Case work) throws Exception {
		int status = COULD_NOT_RUN;
		try (Harness harness = new Harness(Path.of(System.getProperty("review.record")))) {
			try {
				status = work.holds(harness) ? HELD : BROKEN;
			}
			catch (Exception ex) {
				harness.log("the case could not run: " + ex);
			}
			harness.log((status == HELD) ? "RULE HELD" : (status == BROKEN) ? "RULE BROKEN" : "NOT RUN");
		}
		System.exit(status);
	}

	static Thread daemon(String name, Work work) {
		Thread thread = new Thread(() -> {
			try {
				work.run();
			}
			catch (SocketException ex) {
				// The socket was closed at the end of the case.
			}
			catch (Exception ex) {
				System.err.println(name + ": " + ex);
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	long elapsedMillis() {
		return (System.nanoTime() - this.startedAtNanos) / 1_000_000;
	}

	synchronized void log(String line) {
		this.record.printf("%7d ms  %s%n", elapsedMillis(), line);
	}

	static void check(boolean condition, String message) {
		if (!condition) {
			throw new IllegalStateException(message);
		}
	}

	/** Start an entry node and wait until it is ready. */
	Node startNode(String name) throws Exception {
		Node node = new Node(name);
		this.nodes.add(node);
		long until = elapsedMillis() + 30_000;
		while (!node.isReady()) {
			check(node.process.isAlive(), name + " ended while it started");
			check(elapsedMillis() < until, name + " isn't ready after 30 s");
			Thread.sleep(100);
		}
		log(name + " is ready, process " + node.process.pid());
		return node;
	}

	@Override
	public void close() throws Exception {
		for (Node node : this.nodes) {
			node.process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
		}
		this.platform.close();
		this.record.close();
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	/** An entry node as a process. */
	final class Node {

		final String name;

		final Process process;

		private final String ip;

		private final int callerPort;

		private final int readyPort;

		private final Path output;

		private Node(String name) throws Exception {
			this.name = name;
			this.ip = freeAddress();
			this.callerPort = freePort();
			this.readyPort = freePort();
			int directoryPort = freePort();
			int peerPort = freePort();
			String settings = """
					{"node":"%s","role":"entry","class":"front","serves":["front","directory"],"ip":"%s",
					"zone":"kolkata-a","region":"kolkata","zones":{"kolkata-a":"kolkata"},
					"listen":{"front":"%s:%d","ready":"%s:%d","directory":"%s:%d"},"portRange":[%d,%d],"seeds":[],
					"bootstrap":true,"inTolerance":false,
					"limits":{"cpuShare":0.75,"cores":1,"ramMb":430,"fds":4200,"linkMbps":1000.0,"diskMb":0},
					"dataDir":null,"discovery":"platform","entry":"directory","beatIntervalMs":1200,
					"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","quota",
					"leader","rollout","platform"],"tolerate":{"machines":2,"zones":0,"regions":0},"bounds":%s,
					"platform":{"addr":"%s","form":"log","writesPerS":400,"readsPerS":2000,"parts":12,"appendMs":2.0,
					"partMbPerS":20.0,"readMbPerS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,
					"partMb":200,"ttlMinMs":1000},
					"cloud":{"addr":"%s","ratePerS":50.0,"duties":["usage","scale"],"dutyPerS":50.0}}
					""".formatted(name, this.ip, this.ip, this.callerPort, this.ip, this.readyPort, this.ip,
					directoryPort, peerPort, peerPort + 1, BOUNDS, Harness.this.platform.address(),
					Harness.this.platform.address());
			Path file = Harness.this.folder.resolve(name + ".json");
			Files.writeString(file, settings);
			this.output = Harness.this.folder.resolve(name + ".out");
			List<String> command = new ArrayList<>(List.of("java"));
			command.addAll(deployedArguments());
			ProcessBuilder builder = new ProcessBuilder(command).directory(Harness.this.repository.toFile())
				.redirectErrorStream(true)
				.redirectOutput(this.output.toFile());
			builder.environment().put("FLAMINGOGAP_NODE_FILE", file.toString());
			builder.environment().remove("JAVA_TOOL_OPTIONS");
			this.process = builder.start();
			Harness.this.log("started " + name + ": " + String.join(" ", command));
		}

		/** The words of the role's run line after the program. */
		private List<String> deployedArguments() throws IOException {
			String line = Files.readAllLines(Harness.this.repository.resolve("deploy/system.toml"))
				.stream()
				.filter((candidate) -> candidate.startsWith("run = \"java "))
				.findFirst()
				.orElseThrow();
			return List.of(line.substring("run = \"java ".length(), line.lastIndexOf('"')).split(" "));
		}

		private String freeAddress() throws IOException {
			Random random = new Random();
			for (int i = 0; i < 50; i++) {
				String candidate = "127.%d.%d.%d".formatted(10 + random.nextInt(200), random.nextInt(250),
						2 + random.nextInt(250));
				// The run line names the port of the metrics page.
				try (ServerSocket probe = new ServerSocket(9464, 1, InetAddress.getByName(candidate))) {
					return candidate;
				}
				catch (IOException ex) {
					// In use; try another address.
				}
			}
			throw new IOException("no free loopback address");
		}

		private int freePort() throws IOException {
			try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName(this.ip))) {
				return probe.getLocalPort();
			}
		}

		boolean isReady() {
			return readiness() == 200;
		}

		/** The status of the readiness page; 0 if there is none within a second. */
		int readiness() {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(this.ip, this.readyPort), 1_000);
				socket.setSoTimeout(1_000);
				socket.getOutputStream()
					.write("GET /v1/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n"
						.getBytes(StandardCharsets.ISO_8859_1));
				return Http.readHead(new BufferedInputStream(socket.getInputStream())).status();
			}
			catch (IOException | RuntimeException ex) {
				return 0;
			}
		}

		InetSocketAddress callerAddress() {
			return new InetSocketAddress(this.ip, this.callerPort);
		}

		/** Open a channel of a client. */
		Socket connect(int receiveBufferBytes) throws IOException {
			Socket socket = new Socket();
			if (receiveBufferBytes > 0) {
				socket.setReceiveBufferSize(receiveBufferBytes);
			}
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(this.ip, this.callerPort), 1_000);
			return socket;
		}

		/** The lines that the node printed and that contain a text. */
		List<String> printed(String text) throws IOException {
			try (Stream<String> lines = Files.lines(this.output)) {
				return lines.filter((line) -> line.contains(text)).toList();
			}
		}

		/** Send SIGTERM. */
		void terminate() {
			Harness.this.log("SIGTERM to " + this.name);
			this.process.destroy();
		}

	}

	/** The head of a client's request. */
	static byte[] requestHead(String path, String attemptId, long deadlineMillis, int bodyBytes) {
		return ("POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + attemptId + "\r\nDeadline-Ms: "
				+ deadlineMillis + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	static void write(OutputStream out, byte[] bytes) throws IOException {
		out.write(bytes);
		out.flush();
	}

	static InputStream buffered(Socket socket) throws IOException {
		return new BufferedInputStream(socket.getInputStream());
	}

}
