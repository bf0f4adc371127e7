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
 * Compares two ways to execute a request at most once by the time that each adds before
 * dispatch: keys that nodes issue, and a claim by an append to the platform log.
 */
final class OnceMeasure {

	private static final int REQUESTS = 300;

	private static final int WARM_UP = 300;

	private static final long SLOW_LOG_DELAY_MILLIS = 80;

	private static final long TIMEOUT_MILLIS = 2_000;

	private final NodeId self = new NodeId("entry-0", 1);

	private final RequestLedger ledger = new RequestLedger(this.self,
			new LedgerLimits(1_000_000, Long.MAX_VALUE / 2, 60_000, 120_000, 60_000));

	private int nextKeyNumber;

	void run() {
		try (FakeLog log = new FakeLog(0)) {
			PlatformLogClient client = new PlatformLogClient(HttpClient.newHttpClient(), Address.parse(log.address()),
					TIMEOUT_MILLIS);
			LongPredicate claimByAppend = (number) -> client.append("claims", "claim " + number).isRight();
			LongPredicate issuedKey = (number) -> admitAndStartDispatch();
			measure("healthy", claimByAppend, issuedKey);
			log.setDelayMillis(SLOW_LOG_DELAY_MILLIS);
			measure("slow, " + SLOW_LOG_DELAY_MILLIS + " ms a call", claimByAppend, issuedKey);
			log.setMode(LogMode.DOWN);
			measure("down", claimByAppend, issuedKey);
		}
	}

	private boolean admitAndStartDispatch() {
		RequestKey key = new RequestKey(this.self, System.currentTimeMillis(), "caller-part-" + this.nextKeyNumber++);
		KeyedRequest request = new KeyedRequest(key, "buyers", "POST", "/services/desk/bookings", "application/json",
				"{\"lot\":17}".getBytes(StandardCharsets.UTF_8), Long.MAX_VALUE);
		return this.ledger.admit(request, System.currentTimeMillis()) instanceof Admission.Dispatch
				&& this.ledger.startDispatch(key);
	}

	private void measure(String logState, LongPredicate claimByAppend, LongPredicate issuedKey) {
		Report.title("log " + logState + ": " + REQUESTS + " requests one after another");
		measureMethod("claim by append", claimByAppend);
		measureMethod("issued key", issuedKey);
	}

	private static void measureMethod(String name, LongPredicate method) {
		int warmUp = method.test(0) ? WARM_UP / 10 : 0;
		for (int i = 0; i < warmUp; i++) {
			method.test(i);
		}
		Histogram micros = Report.histogram();
		int accepted = 0;
		for (int i = 0; i < REQUESTS; i++) {
			long startNanos = System.nanoTime();
			accepted += method.test(i) ? 1 : 0;
			micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
		}
		Report.percentiles(name, micros);
		Report.row("  accepted %d of %d", accepted, REQUESTS);
	}

}
