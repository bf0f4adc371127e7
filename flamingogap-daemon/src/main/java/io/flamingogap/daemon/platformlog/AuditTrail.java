package io.flamingogap.daemon.platformlog;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.daemon.http.Exchanges;

/**
 * Audit trail that records who changed what, when and why. Entries are written to the
 * structured log immediately, and to a stream of the platform log as soon as it is
 * reachable.
 */
public final class AuditTrail implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_QUEUED_ENTRIES = 10_000;

	private static final long RETRY_INTERVAL_MILLIS = 500;

	private final BlockingQueue<AuditEntry> queue = new LinkedBlockingQueue<>(MAX_QUEUED_ENTRIES);

	private final PlatformLogClient log;

	private final Thread thread;

	private volatile boolean closed;

	/**
	 * Create an audit trail. Entries are appended to the platform log after
	 * {@link #start()}.
	 * @param log the client of the platform log
	 */
	public AuditTrail(PlatformLogClient log) {
		this.log = log;
		this.thread = new Thread(this::appendQueued, "audit-trail");
		this.thread.setDaemon(true);
	}

	/**
	 * Start to append entries to the platform log.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Record an entry. If too many entries are waiting for the platform log, the entry is
	 * written to the structured log only.
	 * @param entry the entry
	 */
	public void record(AuditEntry entry) {
		logger.atInfo()
			.log("audit who=%s what=%s subject=%s cause=%s offset=%d", entry.who(), entry.what(), entry.subject(),
					entry.cause(), entry.offset());
		if (!this.queue.offer(entry)) {
			logger.atWarning().log("audit entry %s is kept in the structured log only", entry.what());
		}
	}

	private void appendQueued() {
		while (!this.closed) {
			try {
				AuditEntry entry = this.queue.take();
				while (!this.closed && this.log.append(PlatformLogClient.AUDIT_STREAM, toJson(entry)).isLeft()) {
					TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
				}
			}
			catch (InterruptedException ex) {
				this.closed = true;
				Thread.currentThread().interrupt();
			}
		}
	}

	/**
	 * Append the queued entries before the node ends, without retrying a failed append.
	 */
	public void flush() {
		AuditEntry entry = this.queue.poll();
		while (entry != null && this.log.append(PlatformLogClient.AUDIT_STREAM, toJson(entry)).isRight()) {
			entry = this.queue.poll();
		}
	}

	private static String toJson(AuditEntry entry) {
		return new String(Exchanges.toJsonBytes(entry), StandardCharsets.UTF_8);
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

}
