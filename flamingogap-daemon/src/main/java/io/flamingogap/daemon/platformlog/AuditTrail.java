package io.flamingogap.daemon.platformlog;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.daemon.http.Exchanges;

/**
 * The audit trail: who changed what, when and why. Entries go to the structured log at
 * once and to their stream of the platform log as soon as it can be reached.
 */
public final class AuditTrail implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_WAITING = 10_000;

	private static final long RETRY_MILLIS = 500;

	private final BlockingQueue<AuditEntry> waiting = new LinkedBlockingQueue<>(MAX_WAITING);

	private final PlatformLog log;

	private final Thread thread;

	private volatile boolean closed;

	/**
	 * Create a trail; entries are appended after {@link #start()}.
	 * @param log the platform log
	 */
	public AuditTrail(PlatformLog log) {
		this.log = log;
		this.thread = new Thread(this::appendWaiting, "audit-trail");
		this.thread.setDaemon(true);
	}

	/**
	 * Begin to append.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Record an entry.
	 * @param entry the entry
	 */
	public void record(AuditEntry entry) {
		logger.atInfo()
			.log("audit who=%s what=%s subject=%s cause=%s offset=%d", entry.who(), entry.what(), entry.subject(),
					entry.cause(), entry.offset());
		if (!this.waiting.offer(entry)) {
			logger.atWarning().log("audit entry %s is kept in the structured log only", entry.what());
		}
	}

	private void appendWaiting() {
		while (!this.closed) {
			try {
				AuditEntry entry = this.waiting.take();
				while (!this.closed && this.log.append(PlatformLog.AUDIT_STREAM, text(entry)).isLeft()) {
					TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
				}
			}
			catch (InterruptedException ex) {
				this.closed = true;
				Thread.currentThread().interrupt();
			}
		}
	}

	/**
	 * Append what waits, once, before the node ends.
	 */
	public void flush() {
		AuditEntry entry = this.waiting.poll();
		while (entry != null && this.log.append(PlatformLog.AUDIT_STREAM, text(entry)).isRight()) {
			entry = this.waiting.poll();
		}
	}

	private static String text(AuditEntry entry) {
		return new String(Exchanges.toJsonBytes(entry), StandardCharsets.UTF_8);
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

}
