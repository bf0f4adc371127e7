package io.flamingogap.daemon.platformlog;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;

import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.platformlog.PlatformLog.LogPage;
import io.flamingogap.daemon.platformlog.PlatformLog.LogRecord;
import io.flamingogap.daemon.tasks.PeriodicTask;

/**
 * The transitions of keyed requests in the platform log: written in batches off the path
 * of requests, and read back so that any node can tell the outcome of a request whose
 * node has died. A missing record proves nothing.
 */
public final class RequestRecords implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** The most appends a second that all nodes together make for these records. */
	private static final int FLEET_APPENDS_PER_SECOND = 15;

	private static final long MIN_INTERVAL_MILLIS = 500;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final int MAX_WAITING = 20_000;

	private static final int MAX_BATCH = 1_000;

	private static final int MAX_KNOWN = 100_000;

	private static final int PAGE_RECORDS = 200;

	private static final int MAX_PAGES_PER_QUERY = 50;

	private final BlockingQueue<RequestRecord> waiting = new LinkedBlockingQueue<>(MAX_WAITING);

	private final Map<String, RequestRecord> known = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, RequestRecord> eldest) {
			return size() > MAX_KNOWN;
		}

	};

	private final PlatformLog log;

	private final PeriodicTask task;

	private long nextOffset = 1;

	/**
	 * Create the records; they are written and read after {@link #start()}.
	 * @param log the platform log
	 * @param fleetSize the number of entry nodes
	 */
	public RequestRecords(PlatformLog log, IntSupplier fleetSize) {
		this.log = log;
		this.task = new PeriodicTask("request-records", () -> intervalMillis(fleetSize.getAsInt()), this::flush);
	}

	/**
	 * Begin to write and read.
	 */
	public void start() {
		this.task.start();
	}

	/**
	 * Record a transition. While the log is down and the queue is full, transitions are
	 * left out.
	 * @param transition the transition
	 */
	public void record(RequestRecord transition) {
		if (!this.waiting.offer(transition)) {
			logger.atWarning()
				.atMostEvery(10, TimeUnit.SECONDS)
				.log("request records are left out: %d wait for the log", MAX_WAITING);
		}
	}

	/**
	 * Return the last recorded transition of a key. The stream is read when it is asked
	 * for, since most nodes are never asked.
	 * @param key the idempotency key
	 * @param account the account that asks
	 * @return the transition, if one of the account's is known
	 */
	public Optional<RequestRecord> find(String key, String account) {
		readNew();
		synchronized (this.known) {
			return Optional.ofNullable(this.known.get(key)).filter((found) -> found.account().equals(account));
		}
	}

	/**
	 * Return the time between two appends of one node, which keeps the whole fleet within
	 * what the log takes.
	 * @param nodes the number of entry nodes
	 * @return the interval
	 */
	static long intervalMillis(int nodes) {
		return Math.max(MIN_INTERVAL_MILLIS, nodes * MILLIS_PER_SECOND / FLEET_APPENDS_PER_SECOND);
	}

	/**
	 * Write what waits. A batch that fails is written again, which does no harm.
	 */
	public synchronized void flush() {
		List<RequestRecord> batch = new ArrayList<>();
		this.waiting.drainTo(batch, MAX_BATCH);
		if (batch.isEmpty()) {
			return;
		}
		String text = new String(Exchanges.toJsonBytes(batch), StandardCharsets.UTF_8);
		if (this.log.append(PlatformLog.REQUEST_STREAM, text).isLeft()) {
			batch.forEach(this.waiting::offer);
		}
	}

	private synchronized void readNew() {
		for (int pages = 0; pages < MAX_PAGES_PER_QUERY; pages++) {
			List<LogRecord> page = this.log.read(PlatformLog.REQUEST_STREAM, this.nextOffset, PAGE_RECORDS, 0)
				.map(LogPage::records)
				.getOrElse(List.of());
			if (page.isEmpty()) {
				return;
			}
			page.forEach(this::take);
			this.nextOffset = page.get(page.size() - 1).offset() + 1;
		}
	}

	private void take(LogRecord logRecord) {
		try {
			RequestRecord[] batch = MAPPER.readValue(logRecord.body(), RequestRecord[].class);
			synchronized (this.known) {
				Arrays.stream(batch)
					.forEach((transition) -> this.known.merge(transition.key(), transition, RequestRecords::later));
			}
		}
		catch (IOException ex) {
			logger.atWarning().log("request record %d can't be read: %s", logRecord.offset(), ex.getMessage());
		}
	}

	/**
	 * An outcome is never replaced by an earlier state that was written again.
	 * @param held the known transition
	 * @param next another transition of the same key
	 * @return the one that says more
	 */
	private static RequestRecord later(RequestRecord held, RequestRecord next) {
		return (held.status() > 0) ? held : next;
	}

	@Override
	public void close() {
		this.task.close();
	}

}
