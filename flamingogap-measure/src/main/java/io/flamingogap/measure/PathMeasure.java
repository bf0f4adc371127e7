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
 * What one entry node adds: the same load sent to the stand-ins directly and through the
 * node, in turns in one run.
 */
final class PathMeasure {

	private static final int STREAMS = 100;

	private static final int TOKENS = 50;

	private static final int STREAMS_A_ROUND = 500;

	private static final int ROUNDS = 2;

	/**
	 * The time that a stream of the stand-in takes, so that {@link #STREAMS} are open at
	 * once.
	 */
	private static final long STREAM_MILLIS = 250 + (TOKENS - 1) * 40;

	private static final int REQUESTS_PER_SECOND = 100;

	private static final int LOAD_SECONDS = 10;

	private static final int WARM_UPS = 2;

	private static final double TARGET_FIRST_MILLIS = 300;

	private static final double TARGET_GAP_MILLIS = 48;

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
		Streams through = new Streams(this.kind.streamUri(this.node));
		direct.round(Report.histogram(), Report.histogram());
		through.round(Report.histogram(), Report.histogram());
		for (int round = 0; round < ROUNDS; round++) {
			direct.round(direct.first, direct.gaps);
			ProcessUsage before = ProcessUsage.of(this.nodePid);
			through.round(through.first, through.gaps);
			through.cpuMillis += ProcessUsage.of(this.nodePid).cpuMillis() - before.cpuMillis();
		}
		Report.title(this.kind.title() + ", streams: " + STREAMS + " open at once, " + TOKENS + " tokens each, "
				+ ROUNDS + " rounds of " + STREAMS_A_ROUND);
		Report.percentiles("first token, direct", direct.first);
		Report.percentiles("first token, through node", through.first);
		ratios(direct.first, through.first);
		Report.percentiles("gap, direct", direct.gaps);
		Report.percentiles("gap, through node", through.gaps);
		ratios(direct.gaps, through.gaps);
		Report.row("failed streams: %d direct, %d through node", direct.failures, through.failures);
		Report.row("node: %.3f ms of processor time a token",
				(double) through.cpuMillis / through.gaps.getTotalCount());
		boolean met = Report.millis(through.first, 95) <= TARGET_FIRST_MILLIS
				&& Report.millis(through.gaps, 95) <= TARGET_GAP_MILLIS && through.failures == 0;
		Report.row("target: 95 in 100 within %.0f ms and %.0f ms: %s", TARGET_FIRST_MILLIS, TARGET_GAP_MILLIS,
				met ? "met" : "NOT met");
	}

	private static void ratios(Histogram direct, Histogram through) {
		Report.row("%-28s p50=%.3f  p95=%.3f  p99=%.3f", "  ratio",
				Report.millis(through, 50) / Report.millis(direct, 50),
				Report.millis(through, 95) / Report.millis(direct, 95),
				Report.millis(through, 99) / Report.millis(direct, 99));
	}

	private void measureLookups() throws Exception {
		Histogram direct = Report.histogram();
		Histogram through = Report.histogram();
		for (int i = 0; i < WARM_UPS; i++) {
			lookups(this.kind.directLookupUri(this.service), Report.histogram());
			lookups(this.kind.lookupUri(this.node), Report.histogram());
		}
		lookups(this.kind.directLookupUri(this.service), direct);
		ProcessUsage before = ProcessUsage.of(this.nodePid);
		int failures = lookups(this.kind.lookupUri(this.node), through);
		ProcessUsage after = ProcessUsage.of(this.nodePid);
		Report.title(this.kind.title() + ", lookups: open loop, " + REQUESTS_PER_SECOND + " a second for "
				+ LOAD_SECONDS + " s");
		Report.percentiles("lookup, direct", direct);
		Report.percentiles("lookup, through node", through);
		ratios(direct, through);
		Report.row("failed lookups through node: %d", failures);
		Report.row("node: %.1f %% of a core at %d lookups a second, %.0f MiB resident",
				(after.cpuMillis() - before.cpuMillis()) / (LOAD_SECONDS * 10.0), REQUESTS_PER_SECOND,
				after.residentBytes() / BYTES_PER_MIB);
	}

	/**
	 * Send at a fixed rate and count each latency from the time at which it was due.
	 * @param uri what to look up
	 * @param micros takes the latencies
	 * @return the number of failures
	 * @throws Exception if a lookup can't be made
	 */
	private int lookups(String uri, Histogram micros) throws Exception {
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
	 * Streams of one target.
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

		private void round(Histogram firstMicros, Histogram gapMicros) throws Exception {
			List<Future<Boolean>> pending = new ArrayList<>();
			long startNanos = System.nanoTime();
			for (int i = 0; i < STREAMS_A_ROUND; i++) {
				int number = i;
				long dueNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(STREAM_MILLIS) * i / STREAMS;
				TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
				pending.add(PathMeasure.this.executor.submit(() -> stream(number, firstMicros, gapMicros)));
			}
			for (Future<Boolean> stream : pending) {
				this.failures += stream.get() ? 0 : 1;
			}
		}

		private boolean stream(int number, Histogram firstMicros, Histogram gapMicros)
				throws IOException, InterruptedException {
			String body = "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":" + TOKENS
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
			return tokens[0] == TOKENS;
		}

		private static void record(Histogram micros, long nanos) {
			synchronized (micros) {
				micros.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
			}
		}

	}

}
