package io.flamingogap.measure;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import org.HdrHistogram.Histogram;

/**
 * Measures the latency that one entry node adds: one run sends the same load alternately
 * to the fake backend servers directly and through the node.
 */
final class PathMeasure {

	private static final int OPEN_STREAMS = 100;

	private static final int TOKENS_PER_STREAM = 50;

	private static final int STREAMS_PER_ROUND = 500;

	private static final int ROUNDS = 2;

	/**
	 * Duration of one stream of the fake backend server. Streams are started at intervals
	 * of this time divided by {@link #OPEN_STREAMS}, so that {@link #OPEN_STREAMS} are
	 * open at once.
	 */
	private static final long STREAM_MILLIS = 250 + (TOKENS_PER_STREAM - 1) * 40;

	private static final int REQUESTS_PER_SECOND = 100;

	private static final int LOAD_SECONDS = 10;

	private static final int WARM_UP_ROUNDS = 2;

	private static final double TARGET_FIRST_TOKEN_MILLIS = 300;

	private static final double TARGET_TOKEN_GAP_MILLIS = 48;

	private static final double BYTES_PER_MIB = 1_048_576.0;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final AtomicLong requests = new AtomicLong();

	private final PathKind kind;

	private final String node;

	private final String engine;

	private final String service;

	private final long nodePid;

	PathMeasure(PathKind kind, String node, String engine, String service, long nodePid) {
		this.kind = kind;
		this.node = node;
		this.engine = engine;
		this.service = service;
		this.nodePid = nodePid;
	}

	void run() throws Exception {
		measureStreams();
		measureLookups();
		this.executor.shutdownNow();
	}

	private void measureStreams() throws Exception {
		Streams direct = new Streams(this.kind.streamUri(this.engine));
		Streams throughNode = new Streams(this.kind.streamUri(this.node));
		direct.runRound(Report.histogram(), Report.histogram());
		throughNode.runRound(Report.histogram(), Report.histogram());
		for (int round = 0; round < ROUNDS; round++) {
			direct.runRound(direct.first, direct.gaps);
			ProcessUsage before = ProcessUsage.of(this.nodePid);
			throughNode.runRound(throughNode.first, throughNode.gaps);
			throughNode.cpuMillis += ProcessUsage.of(this.nodePid).cpuMillis() - before.cpuMillis();
		}
		Report.title(this.kind.title() + ", streams: " + OPEN_STREAMS + " open at once, " + TOKENS_PER_STREAM
				+ " tokens each, " + ROUNDS + " rounds of " + STREAMS_PER_ROUND);
		Report.percentiles("first token, direct", direct.first);
		Report.percentiles("first token, through node", throughNode.first);
		printRatios(direct.first, throughNode.first);
		Report.percentiles("gap, direct", direct.gaps);
		Report.percentiles("gap, through node", throughNode.gaps);
		printRatios(direct.gaps, throughNode.gaps);
		Report.row("failed streams: %d direct, %d through node", direct.failures, throughNode.failures);
		Report.row("node: %.3f ms of processor time a token",
				(double) throughNode.cpuMillis / throughNode.gaps.getTotalCount());
		boolean met = Report.millis(throughNode.first, 95) <= TARGET_FIRST_TOKEN_MILLIS
				&& Report.millis(throughNode.gaps, 95) <= TARGET_TOKEN_GAP_MILLIS && throughNode.failures == 0;
		Report.row("target: 95 in 100 within %.0f ms and %.0f ms: %s", TARGET_FIRST_TOKEN_MILLIS,
				TARGET_TOKEN_GAP_MILLIS, met ? "met" : "NOT met");
	}

	private static void printRatios(Histogram direct, Histogram throughNode) {
		Report.row("%-28s p50=%.3f  p95=%.3f  p99=%.3f", "  ratio",
				Report.millis(throughNode, 50) / Report.millis(direct, 50),
				Report.millis(throughNode, 95) / Report.millis(direct, 95),
				Report.millis(throughNode, 99) / Report.millis(direct, 99));
	}

	private void measureLookups() throws Exception {
		Histogram direct = Report.histogram();
		Histogram throughNode = Report.histogram();
		for (int i = 0; i < WARM_UP_ROUNDS; i++) {
			sendLookups(this.kind.directLookupUri(this.service), Report.histogram());
			sendLookups(this.kind.lookupUri(this.node), Report.histogram());
		}
		sendLookups(this.kind.directLookupUri(this.service), direct);
		ProcessUsage before = ProcessUsage.of(this.nodePid);
		int failures = sendLookups(this.kind.lookupUri(this.node), throughNode);
		ProcessUsage after = ProcessUsage.of(this.nodePid);
		Report.title(this.kind.title() + ", lookups: open loop, " + REQUESTS_PER_SECOND + " a second for "
				+ LOAD_SECONDS + " s");
		Report.percentiles("lookup, direct", direct);
		Report.percentiles("lookup, through node", throughNode);
		printRatios(direct, throughNode);
		Report.row("failed lookups through node: %d", failures);
		Report.row("node: %.1f %% of a core at %d lookups a second, %.0f MiB resident",
				(after.cpuMillis() - before.cpuMillis()) / (LOAD_SECONDS * 10.0), REQUESTS_PER_SECOND,
				after.residentBytes() / BYTES_PER_MIB);
	}

	/**
	 * Send lookups at a fixed rate and measure each latency from the time at which the
	 * lookup was due.
	 * @param uri the URI to look up
	 * @param micros receives the latencies in microseconds
	 * @return the number of lookups without status 200
	 * @throws Exception if a lookup can't be made
	 */
	private int sendLookups(String uri, Histogram micros) throws Exception {
		long intervalNanos = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
		long startNanos = System.nanoTime();
		List<Future<Boolean>> pending = new ArrayList<>();
		for (int i = 0; i < REQUESTS_PER_SECOND * LOAD_SECONDS; i++) {
			long dueNanos = startNanos + i * intervalNanos;
			TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
			pending.add(this.executor.submit(lookup(uri, dueNanos, micros)));
		}
		int failures = 0;
		for (Future<Boolean> lookup : pending) {
			failures += lookup.get() ? 0 : 1;
		}
		return failures;
	}

	private Callable<Boolean> lookup(String uri, long dueNanos, Histogram micros) {
		HttpRequest request = request(uri).GET().build();
		return () -> {
			HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			long tookMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
			synchronized (micros) {
				micros.recordValue(tookMicros);
			}
			return response.statusCode() == 200;
		};
	}

	private HttpRequest.Builder request(String uri) {
		return this.kind.request(uri, "measured-" + this.requests.incrementAndGet());
	}

	/**
	 * Streams that are sent to one target, and their latencies.
	 */
	private final class Streams {

		private final String uri;

		private final Histogram first = Report.histogram();

		private final Histogram gaps = Report.histogram();

		private int failures;

		private long cpuMillis;

		private Streams(String uri) {
			this.uri = uri;
		}

		private void runRound(Histogram firstMicros, Histogram gapMicros) throws Exception {
			List<Future<Boolean>> pending = new ArrayList<>();
			long startNanos = System.nanoTime();
			for (int i = 0; i < STREAMS_PER_ROUND; i++) {
				int number = i;
				long dueNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(STREAM_MILLIS) * i / OPEN_STREAMS;
				TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
				pending.add(PathMeasure.this.executor.submit(() -> stream(number, firstMicros, gapMicros)));
			}
			for (Future<Boolean> stream : pending) {
				this.failures += stream.get() ? 0 : 1;
			}
		}

		private boolean stream(int number, Histogram firstMicros, Histogram gapMicros)
				throws IOException, InterruptedException {
			String body = "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":" + TOKENS_PER_STREAM
					+ ",\"messages\":[{\"role\":\"user\",\"content\":\"lot " + number + "\"}]}";
			HttpRequest request = request(this.uri).POST(HttpRequest.BodyPublishers.ofString(body)).build();
			long[] lastNanos = { System.nanoTime() };
			int[] tokens = new int[1];
			HttpResponse<Stream<String>> response = PathMeasure.this.client.send(request,
					HttpResponse.BodyHandlers.ofLines());
			try (Stream<String> lines = response.body()) {
				lines.filter(PathMeasure.this.kind::isEvent).forEach((line) -> {
					long nowNanos = System.nanoTime();
					record((tokens[0]++ == 0) ? firstMicros : gapMicros, nowNanos - lastNanos[0]);
					lastNanos[0] = nowNanos;
				});
			}
			return tokens[0] == TOKENS_PER_STREAM;
		}

		private static void record(Histogram micros, long nanos) {
			synchronized (micros) {
				micros.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
			}
		}

	}

}
