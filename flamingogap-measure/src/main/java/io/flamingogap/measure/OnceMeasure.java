package io.flamingogap.measure;

import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

import org.HdrHistogram.Histogram;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.node.NodeId;
import io.flamingogap.core.request.Admission;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.core.request.LedgerLimits;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.core.request.RequestLedger;
import io.flamingogap.daemon.platformlog.PlatformLogClient;
import io.flamingogap.testkit.platform.FakeLog;
import io.flamingogap.testkit.platform.LogMode;

/**
 * The time that each way to at-most-once adds before a request may be dispatched: keys
 * that nodes issue, against a claim by an append to the platform log.
 */
final class OnceMeasure {

	private static final int REQUESTS = 300;

	private static final int WARM_UP = 300;

	private static final long SLOW_MILLIS = 80;

	private static final long TIMEOUT_MILLIS = 2_000;

	private final NodeId self = new NodeId("entry-0", 1);

	private final RequestLedger ledger = new RequestLedger(this.self,
			new LedgerLimits(1_000_000, Long.MAX_VALUE / 2, 60_000, 120_000, 60_000));

	private int next;

	void run() {
		try (FakeLog log = new FakeLog(0)) {
			PlatformLogClient client = new PlatformLogClient(HttpClient.newHttpClient(), Address.parse(log.address()),
					TIMEOUT_MILLIS);
			LongPredicate claim = (number) -> client.append("claims", "claim " + number).isRight();
			LongPredicate issued = (number) -> admit();
			measure("healthy", claim, issued);
			log.setDelayMillis(SLOW_MILLIS);
			measure("slow, " + SLOW_MILLIS + " ms a call", claim, issued);
			log.setMode(LogMode.DOWN);
			measure("down", claim, issued);
		}
	}

	private boolean admit() {
		RequestKey key = new RequestKey(this.self, System.currentTimeMillis(), "caller-part-" + this.next++);
		KeyedRequest request = new KeyedRequest(key, "buyers", "POST", "/services/desk/bookings", "application/json",
				"{\"lot\":17}".getBytes(StandardCharsets.UTF_8), Long.MAX_VALUE);
		return this.ledger.admit(request, System.currentTimeMillis()) instanceof Admission.Dispatch
				&& this.ledger.startDispatch(key);
	}

	private void measure(String logState, LongPredicate claim, LongPredicate issued) {
		Report.title("log " + logState + ": " + REQUESTS + " requests one after another");
		measureWay("claim by append", claim);
		measureWay("issued key", issued);
	}

	private static void measureWay(String name, LongPredicate way) {
		int warmUp = way.test(0) ? WARM_UP / 10 : 0;
		for (int i = 0; i < warmUp; i++) {
			way.test(i);
		}
		Histogram micros = Report.histogram();
		int accepted = 0;
		for (int i = 0; i < REQUESTS; i++) {
			long startNanos = System.nanoTime();
			accepted += way.test(i) ? 1 : 0;
			micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
		}
		Report.percentiles(name, micros);
		Report.row("  accepted %d of %d", accepted, REQUESTS);
	}

}
