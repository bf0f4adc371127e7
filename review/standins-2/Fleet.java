import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Three entry nodes, started with the run line of the deploy file, a stand-in of the store and one of
 * the platform's API. All addresses are loopback addresses.
 */
final class Fleet implements AutoCloseable {

	static final int NODES = 3;

	private static final int METRICS_PORT = 9464;

	final Store store;

	private final Path home;

	private final Path folder;

	private final PrintStream log;

	private final long startedNanos = System.nanoTime();

	private final String net;

	private final int[] ports = new int[5];

	private final Process[] processes = new Process[NODES];

	private final List<HttpServer> clouds = new ArrayList<>();

	private final boolean[] stopped = new boolean[NODES];

	private boolean bootstrap = true;

	Fleet(Path caseFolder) throws IOException {
		this.home = Path.of("").toAbsolutePath();
		this.folder = Files.createTempDirectory("fleet");
		this.log = new PrintStream(Files.newOutputStream(caseFolder.resolve("record.txt")), true,
				StandardCharsets.UTF_8);
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		this.net = findFreeNet();
		for (int i = 0; i < this.ports.length; i++) {
			this.ports[i] = freePort(address(NODES - 1));
		}
		this.store = new Store(new InetSocketAddress(InetAddress.getByName(this.net + "100"), this.ports[4]));
		HttpServer cloud = HttpServer.create(new InetSocketAddress(InetAddress.getByName(this.net + "101"), this.ports[4]), 16);
		cloud.createContext("/", (exchange) -> {
			exchange.getRequestBody().readAllBytes();
			exchange.sendResponseHeaders(200, -1);
			exchange.close();
		});
		cloud.start();
		this.clouds.add(cloud);
	}

	private static String findFreeNet() {
		for (Random random = new Random();;) {
			String net = "127.77." + (1 + random.nextInt(250)) + ".";
			if (Stream.of(1, 2, 3).allMatch((host) -> isFree(net + host, METRICS_PORT))) {
				return net;
			}
		}
	}

	private static boolean isFree(String host, int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static int freePort(String host) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
			return socket.getLocalPort();
		}
	}

	/** Returns a loopback address that no node uses. */
	String serverAddress(int number) {
		return this.net + (110 + number);
	}

	String address(int node) {
		return this.net + (1 + node);
	}

	InetSocketAddress front(int node) {
		return new InetSocketAddress(address(node), this.ports[0]);
	}

	void record(String line) {
		String stamped = String.format("%7.2f s  %s", (System.nanoTime() - this.startedNanos) / 1e9, line);
		synchronized (this.log) {
			this.log.println(stamped);
		}
	}

	void config(String json) {
		record("the operator sends the config " + json);
		this.store.put("keyed.op", "config", json);
		record("the store acknowledges it");
	}

	void startAll() throws Exception {
		for (int node = 0; node < NODES; node++) {
			start(node);
		}
		awaitReady(30_000);
		this.bootstrap = false;
	}

	void start(int node) throws IOException {
		String run = Files.readAllLines(this.home.resolve("deploy/system.toml"))
			.stream()
			.filter((line) -> line.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		List<String> command = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
		Path settings = this.folder.resolve("node-" + node + ".json");
		Files.writeString(settings, settings(node));
		ProcessBuilder builder = new ProcessBuilder(command).directory(this.home.toFile());
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("FLAMINGOGAP_NODE_FILE", settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(this.folder.toFile(), "node-" + node + ".log")));
		this.processes[node] = builder.start();
		record("node " + node + " started, process " + this.processes[node].pid());
	}

	private String settings(int node) {
		String ip = address(node);
		String zone = "zone-" + node;
		return """
				{"node":"front-%s-1","role":"entry","class":"front","serves":["front","directory"],"ip":"%s",
				"zone":"%s","region":"region-%d","zones":{"zone-0":"region-0","zone-1":"region-1","zone-2":"region-2"},
				"listen":{"front":"%s:%d","ready":"%s:%d","directory":"%s:%d"},"portRange":[%d,%d],"seeds":[],
				"bootstrap":%s,"inTolerance":false,
				"limits":{"cpuShare":0.75,"cores":1,"ramMb":430,"fds":4200,"linkMbps":1000.0,"diskMb":0},
				"dataDir":null,"discovery":"platform","entry":"directory","beatIntervalMs":1200,
				"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","quota",
				"leader","rollout","platform"],"tolerate":{"machines":2,"zones":0,"regions":0},
				"bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":2500,
				"graceS":8,"lostSlackMs":200,"applyMs":2500,"rollbackSlackMs":250,"stretchMaxMs":6000,
				"strictRevoke":false,"revokeMs":5000,"retryRatio":0.2,"retryWindowS":10,"retrySlack":52,
				"quotaWindowS":8,"quotaOver":0.1,"quotaSlack":140000,"fencing":true,"leaseMs":3000,"thawSlackMs":300,
				"windowS":5,"usageTolerance":0.05,"usageLateS":10,"exposeShare":0.1,"exposeSlack":50,
				"rollbackMs":5000,"recoverS":12,"passMs":250,"againS":10,"ttl_max_s":5},
				"platform":{"addr":"%s100:%d","form":"log","writesPerS":400,"readsPerS":2000,"parts":12,
				"appendMs":2.0,"partMbPerS":20.0,"readMbPerS":80.0,"recordBytes":262144,"callBytes":2097152,
				"keep_s":300,"partMb":200,"ttlMinMs":1000},
				"cloud":{"addr":"%s101:%d","ratePerS":50.0,"duties":["usage","scale"],"dutyPerS":50.0}}
				""".formatted(zone, ip, zone, node, ip, this.ports[0], ip, this.ports[1], ip, this.ports[2],
				this.ports[3], this.ports[3] + 1, this.bootstrap, this.net, this.ports[4], this.net, this.ports[4]);
	}

	/** Waits until all nodes answer the platform's check with status 200. */
	void awaitReady(long limitMillis) throws Exception {
		long untilMillis = System.currentTimeMillis() + limitMillis;
		for (int node = 0; node < NODES; node++) {
			while (!isReady(node)) {
				if (System.currentTimeMillis() > untilMillis) {
					throw new IllegalStateException("node " + node + " isn't ready");
				}
				Thread.sleep(50);
			}
		}
		record("all nodes are ready");
	}

	boolean isReady(int node) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(address(node), this.ports[1]), 1_000);
			socket.setSoTimeout(1_000);
			socket.getOutputStream().write("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
			return new String(socket.getInputStream().readNBytes(12)).endsWith("200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	Process process(int node) {
		return this.processes[node];
	}

	/** Returns what a node printed last that isn't a line of its log, such as the JVM's reason to end. */
	String lastWords(int node) throws IOException {
		return Files.readAllLines(this.folder.resolve("node-" + node + ".log"))
			.stream()
			.filter((line) -> !line.startsWith("{"))
			.reduce("", (earlier, later) -> later);
	}

	@Override
	public void close() {
		for (Process process : this.processes) {
			if (process != null && process.isAlive()) {
				process.destroyForcibly();
				try {
					process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			if (System.getenv("KEEP") == null) {
				files.sorted((first, second) -> second.compareTo(first)).forEach((file) -> file.toFile().delete());
			}
		}
		catch (IOException ex) {
			// Nothing is left to delete.
		}
	}

}
