package io.flamingogap.measure;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.manifest.ManifestReader;
import io.flamingogap.core.membership.Member;
import io.flamingogap.core.membership.MemberState;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.core.request.LedgerLimits;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.core.request.RequestLedger;
import io.flamingogap.core.rollout.Arm;
import io.flamingogap.core.rollout.EvidenceKey;
import io.flamingogap.core.rollout.EvidenceRow;
import io.flamingogap.core.rollout.EvidenceTable;
import io.flamingogap.core.rollout.RolloutKey;
import io.flamingogap.core.rollout.Tally;
import io.flamingogap.core.routing.LeastLoadedSelector;
import io.flamingogap.core.routing.LeavingServers;
import io.flamingogap.core.routing.ServerLoadTable;
import io.flamingogap.core.routing.ServerQuery;
import io.flamingogap.core.text.Digests;
import io.flamingogap.core.toml.RecordBinder;
import io.flamingogap.daemon.EntryNode;
import io.flamingogap.daemon.settings.Settings;
import io.flamingogap.testkit.net.FreePorts;

/**
 * Measures the growth rates that the capacity page uses: what control traffic costs a
 * node as the number of nodes grows, and what each further server, key, row of evidence
 * or route costs.
 */
final class CapacityMeasure {

	private static final int[] NODE_COUNTS = { 6, 12, 24, 48 };

	private static final int[] SERVER_COUNTS = { 16, 110, 880 };

	private static final int WARM_UP_SECONDS = 10;

	private static final int MEASURE_SECONDS = 15;

	private static final int ROWS = 100_000;

	private static final int SELECTIONS = 20_000;

	private final String logAddress;

	private final String cloudAddress;

	CapacityMeasure(String logAddress, String cloudAddress) {
		this.logAddress = logAddress;
		this.cloudAddress = cloudAddress;
	}

	void run() throws Exception {
		measureTableRows();
		measureServers();
		Report.title("control of idle nodes in one process, " + MEASURE_SECONDS + " s each; bytes are those of the "
				+ "loopback device, both ends and headers included");
		for (int nodes : NODE_COUNTS) {
			measureFleet(nodes);
		}
	}

	private void measureFleet(int count) throws Exception {
		long heapBytesBefore = usedHeapBytes();
		List<EntryNode> nodes = new ArrayList<>();
		String seed = "";
		for (int i = 0; i < count; i++) {
			List<Integer> ports = FreePorts.take(3);
			nodes.add(EntryNode.create(settings(i, ports, seed), Clock.systemUTC()));
			nodes.get(i).start();
			seed = seed.isEmpty() ? "\"127.0.0.1:" + ports.get(1) + "\"" : seed;
		}
		TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
		long cpuBefore = cpuNanos();
		long bytesBefore = loopbackBytes();
		TimeUnit.SECONDS.sleep(MEASURE_SECONDS);
		double bytes = (loopbackBytes() - bytesBefore) / (double) MEASURE_SECONDS / count;
		double corePercent = (cpuNanos() - cpuBefore) / 1e7 / MEASURE_SECONDS / count;
		long heapBytes = (usedHeapBytes() - heapBytesBefore) / count;
		Report.row("%3d nodes: a node %.0f bytes/s, %.2f %% of a core, %d KiB of heap", count, bytes, corePercent,
				heapBytes / 1_024);
		nodes.forEach(EntryNode::close);
	}

	private Settings settings(int number, List<Integer> ports, String seed) {
		String text = """
				[node]
				name = "entry-%d"
				zone = "zone-%d"
				[listen]
				callerAddress = "127.0.0.1:%d"
				nodeAddress = "127.0.0.1:%d"
				adminAddress = "127.0.0.1:%d"
				[nodes]
				sharedSecret = "a-secret-for-measuring"
				seedAddresses = [%s]
				[platform]
				logAddress = "%s"
				cloudAddress = "%s"
				[callers]
				[requests]
				[operators]
				bootstrapName = "ops"
				bootstrapKeyDigest = "%s"
				[log]
				level = "error"
				""".formatted(number, number % 5, ports.get(0), ports.get(1), ports.get(2), seed, this.logAddress,
				this.cloudAddress, Digests.sha256("key"));
		return RecordBinder.bind(text, Settings.class)
			.getOrElseThrow((errors) -> new IllegalStateException(errors.toString()));
	}

	private static long loopbackBytes() throws IOException {
		return Files.readAllLines(Path.of("/proc/net/dev"))
			.stream()
			.map(String::strip)
			.filter((line) -> line.startsWith("lo:"))
			.mapToLong((line) -> Long.parseLong(line.substring("lo:".length()).strip().split("\\s+")[0]))
			.findFirst()
			.orElseThrow();
	}

	private static long cpuNanos() {
		return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
			.getProcessCpuTime();
	}

	private static long usedHeapBytes() throws InterruptedException {
		for (int i = 0; i < 3; i++) {
			System.gc();
			TimeUnit.MILLISECONDS.sleep(100);
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private void measureTableRows() throws InterruptedException {
		Report.title("heap of one row, from " + ROWS + " of them");
		measureBytesPerRow("key in the ledger, 300 byte answer", (rows) -> createLedger(rows));
		measureBytesPerRow("row of evidence", (rows) -> createEvidence(rows));
		measureBytesPerRow("row of the membership table", (rows) -> createMembers(rows));
	}

	private static void measureBytesPerRow(String name, IntFunction<Object> fill) throws InterruptedException {
		long before = usedHeapBytes();
		Object table = fill.apply(ROWS);
		long after = usedHeapBytes();
		Report.row("%-36s %d bytes", name, (after - before) / ROWS);
		if (table.hashCode() == 0) {
			Report.row("");
		}
	}

	private static RequestLedger createLedger(int rows) {
		NodeId self = new NodeId("entry-0", 1);
		RequestLedger ledger = new RequestLedger(self, new LedgerLimits(rows + 1, 1L << 40, 60_000, 120_000, 60_000));
		for (int i = 0; i < rows; i++) {
			RequestKey key = new RequestKey(self, 1_000 + i, "4e5f9a1c-0000-0000-0000-" + i);
			ledger.admit(new KeyedRequest(key, "buyers", "POST", "/services/desk/bookings", "application/json",
					new byte[300], 90_000), 50_000);
			ledger.startDispatch(key);
			ledger.recordAnswer(key, new Answer(201, "application/json", new byte[300]));
		}
		return ledger;
	}

	private static EvidenceTable createEvidence(int rows) {
		EvidenceTable table = new EvidenceTable();
		RolloutKey rollout = new RolloutKey("assistant", "v2", 1);
		for (int i = 0; i < rows; i++) {
			NodeId node = new NodeId("entry-" + i % 330, i % 330);
			table.merge(new EvidenceRow(new EvidenceKey(rollout, node, Arm.CANDIDATE, "/v1/chat/completions", i / 330),
					new Tally(i + 1, 0, 0)));
		}
		return table;
	}

	private static List<Member> createMembers(int rows) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < rows; i++) {
			members.add(new Member(new NodeId("entry-" + i, i), "zone-" + i % 5, new Address("10.0.0." + i % 250, 80),
					new Address("10.0.0." + i % 250, 81), MemberState.SERVING, 1, false, null));
		}
		return members;
	}

	private void measureServers() {
		Report.title("servers and routes in the manifest");
		for (int servers : SERVER_COUNTS) {
			String text = manifestText(servers);
			Manifest manifest = ManifestReader.read(text).get();
			long readNanos = averageNanos(20, () -> ManifestReader.read(text));
			LeavingServers leaving = new LeavingServers(1_000);
			ServerLoadTable loads = new ServerLoadTable(1_000);
			ServerQuery query = new ServerQuery("assistant", "v1", List.of(), Set.of());
			long selectionNanos = averageNanos(SELECTIONS,
					() -> LeastLoadedSelector.choose(manifest, query, "zone-0", loads, leaving, 1_000));
			Report.row("%4d servers: manifest of %d bytes, read in %.2f ms, choice in %.1f us", servers,
					text.getBytes(StandardCharsets.UTF_8).length, readNanos / 1e6, selectionNanos / 1e3);
		}
	}

	private static long averageNanos(int times, Runnable step) {
		for (int i = 0; i < times; i++) {
			step.run();
		}
		long startNanos = System.nanoTime();
		for (int i = 0; i < times; i++) {
			step.run();
		}
		return (System.nanoTime() - startNanos) / times;
	}

	private static String manifestText(int servers) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < 5; i++) {
			text.append("[[zone]]\nname = \"zone-%d\"\nregion = \"region-%d\"\n".formatted(i, i / 3));
		}
		text.append("[[service]]\nname = \"assistant\"\nkind = \"model\"\nversion = \"v1\"\ntargetMillis = 300\n");
		for (int i = 0; i < servers; i++) {
			text.append("""
					[[server]]
					name = "engine-%d"
					service = "assistant"
					version = "v1"
					zone = "zone-%d"
					address = "10.0.%d.%d:8000"
					""".formatted(i, i % 5, i / 250, i % 250));
		}
		text.append("[[account]]\nname = \"a\"\nkeyDigest = \"%s\"\n".formatted(Digests.sha256("a")));
		text.append("[[operator]]\nname = \"o\"\nkeyDigest = \"%s\"\n".formatted(Digests.sha256("o")));
		return text.toString();
	}

}
