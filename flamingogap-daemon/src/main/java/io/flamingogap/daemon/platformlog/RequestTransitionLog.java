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
import io.flamingogap.daemon.platformlog.PlatformLogClient.LogPage;
import io.flamingogap.daemon.platformlog.PlatformLogClient.LogRecord;
import io.flamingogap.daemon.tasks.PeriodicTask;

/**
 * Log of the state transitions of keyed requests, stored in the platform log. Transitions
 * are written in batches, outside the request path. They are read so that any node can
 * report the outcome of a request whose node has died. The absence of a record proves
 * nothing, because transitions may be dropped or not be written yet.
 */
public final class RequestTransitionLog implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** Maximum rate of appends of these records by all nodes together. */
	private static final int MAX_FLEET_APPENDS_PER_SECOND = 15;

	private static final long MIN_INTERVAL_MILLIS = 500;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final int MAX_PENDING = 20_000;

	private static final int MAX_BATCH_TRANSITIONS = 1_000;

	private static final int MAX_KNOWN_KEYS = 100_000;

	private static final int MAX_PAGE_RECORDS = 200;

	private static final int MAX_PAGES_PER_QUERY = 50;

	private final BlockingQueue<RequestTransition> pending = new LinkedBlockingQueue<>(MAX_PENDING);

	private final Map<String, RequestTransition> latestByKey = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, RequestTransition> eldest) {
			return size() > MAX_KNOWN_KEYS;
		}

	};

	private final PlatformLogClient log;

	private final PeriodicTask task;

	private long nextOffset = 1;

	/**
	 * Create a log. Transitions are written after {@link #start()}.
	 * @param log the client of the platform log
	 * @param nodeCount supplies the number of known entry nodes
	 */
	public RequestTransitionLog(PlatformLogClient log, IntSupplier nodeCount) {
		this.log = log;
		this.task = new PeriodicTask("request-records", () -> intervalMillis(nodeCount.getAsInt()), this::flush);
	}

	/**
	 * Start to write recorded transitions.
	 */
	public void start() {
		this.task.start();
	}

	/**
	 * Record a transition. If the platform log is unavailable and the queue is full, the
	 * transition is dropped.
	 * @param transition the new state of a request
	 */
	public void record(RequestTransition transition) {
		if (!this.pending.offer(transition)) {
			logger.atWarning()
				.atMostEvery(10, TimeUnit.SECONDS)
				.log("dropping request records: %d are waiting for the platform log", MAX_PENDING);
		}
	}

	/**
	 * Return the last recorded transition of a key. The stream is read on demand only,
	 * because most nodes never need it.
	 * @param key the idempotency key
	 * @param account the account of the caller
	 * @return the transition; empty if none is known or it belongs to another account
	 */
	public Optional<RequestTransition> find(String key, String account) {
		readNewRecords();
		synchronized (this.latestByKey) {
			return Optional.ofNullable(this.latestByKey.get(key)).filter((found) -> found.account().equals(account));
		}
	}

	/**
	 * Return the interval between two appends of a node. It grows with the number of
	 * nodes, so that all nodes together stay within the rate that the platform log
	 * sustains.
	 * @param nodeCount the number of entry nodes
	 * @return the interval in milliseconds
	 */
	static long intervalMillis(int nodeCount) {
		return Math.max(MIN_INTERVAL_MILLIS, nodeCount * MILLIS_PER_SECOND / MAX_FLEET_APPENDS_PER_SECOND);
	}

	/**
	 * Write a batch of pending transitions. If that fails, they are queued again.
	 * Duplicates of transitions are harmless.
	 */
	public synchronized void flush() {
		List<RequestTransition> batch = new ArrayList<>();
		this.pending.drainTo(batch, MAX_BATCH_TRANSITIONS);
		if (batch.isEmpty()) {
			return;
		}
		String text = new String(Exchanges.toJsonBytes(batch), StandardCharsets.UTF_8);
		if (this.log.append(PlatformLogClient.REQUEST_STREAM, text).isLeft()) {
			batch.forEach(this.pending::offer);
		}
	}

	private synchronized void readNewRecords() {
		for (int pages = 0; pages < MAX_PAGES_PER_QUERY; pages++) {
			List<LogRecord> page = this.log.read(PlatformLogClient.REQUEST_STREAM, this.nextOffset, MAX_PAGE_RECORDS, 0)
				.map(LogPage::records)
				.getOrElse(List.of());
			if (page.isEmpty()) {
				return;
			}
			page.forEach(this::mergeRecord);
			this.nextOffset = page.get(page.size() - 1).offset() + 1;
		}
	}

	private void mergeRecord(LogRecord logRecord) {
		try {
			RequestTransition[] batch = MAPPER.readValue(logRecord.body(), RequestTransition[].class);
			synchronized (this.latestByKey) {
				Arrays.stream(batch)
					.forEach((transition) -> this.latestByKey.merge(transition.key(), transition,
							RequestTransitionLog::preferOutcome));
			}
		}
		catch (IOException ex) {
			logger.atWarning().log("request record %d can't be read: %s", logRecord.offset(), ex.getMessage());
		}
	}

	/**
	 * Choose between two transitions of a key. A transition with an answer is never
	 * replaced, because an earlier state may have been written again after it.
	 * @param existing the known transition
	 * @param next the transition that was read later
	 * @return the transition to keep
	 */
	private static RequestTransition preferOutcome(RequestTransition existing, RequestTransition next) {
		return (existing.status() > 0) ? existing : next;
	}

	@Override
	public void close() {
		this.task.close();
	}

}
