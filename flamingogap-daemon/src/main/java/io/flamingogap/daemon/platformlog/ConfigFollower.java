package io.flamingogap.daemon.platformlog;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.daemon.platformlog.PlatformLogClient.LogPage;

/**
 * Reader that follows the configuration stream of the platform log on its own thread.
 */
public final class ConfigFollower implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_PAGE_RECORDS = 100;

	private static final long RETRY_INTERVAL_MILLIS = 250;

	private final PlatformLogClient log;

	private final Configuration configuration;

	private final long waitMillis;

	private final Thread thread;

	private volatile boolean closed;

	private volatile boolean logReachable;

	private volatile long snapshotSearchOffset;

	/**
	 * Create a follower. It reads after {@link #start()}.
	 * @param log the client of the platform log
	 * @param configuration the configuration to apply records to
	 * @param waitMillis the time for which a read waits for a new record; 0 to poll at an
	 * interval instead
	 */
	public ConfigFollower(PlatformLogClient log, Configuration configuration, long waitMillis) {
		this.log = log;
		this.configuration = configuration;
		this.waitMillis = waitMillis;
		this.thread = new Thread(this::follow, "config-follower");
		this.thread.setDaemon(true);
	}

	/**
	 * Start to follow the stream.
	 */
	public void start() {
		this.thread.start();
	}

	private void follow() {
		while (!this.closed) {
			boolean isPageRead = tryReadPage();
			if (!isPageRead || this.waitMillis == 0) {
				sleepBeforeRetry();
			}
		}
	}

	/**
	 * Read a page and catch any failure to apply it, so that the thread never ends by
	 * itself and the page is read again later.
	 * @return {@code true} if a page was read and applied
	 */
	private boolean tryReadPage() {
		try {
			return readPage(this.waitMillis);
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("failed to apply a page of the configuration stream");
			return false;
		}
	}

	/**
	 * Read the next records without waiting for new ones, and apply them.
	 * @return {@code true} if the log answered
	 */
	public boolean readNow() {
		return readPage(0);
	}

	private boolean readPage(long readWaitMillis) {
		long next = Math.max(this.configuration.state().headOffset() + 1, this.snapshotSearchOffset);
		Either<Failure, LogPage> page = this.log.read(PlatformLogClient.CONFIG_STREAM, next, MAX_PAGE_RECORDS,
				readWaitMillis);
		if (page.isRight()) {
			applyPage(page.get());
		}
		else if (this.logReachable) {
			logger.atWarning().log("platform log can't be read: %s", page.getLeft());
		}
		this.logReachable = page.isRight();
		return page.isRight();
	}

	/**
	 * Apply a page. If the log has dropped the next record, the following pages are
	 * searched for a snapshot. After one is restored, reading continues with the first
	 * record that it doesn't cover.
	 * @param page the records that were read
	 */
	private void applyPage(LogPage page) {
		long previousHeadOffset = this.configuration.state().headOffset();
		this.configuration.apply(page.records());
		boolean isStateUnchanged = this.configuration.state().headOffset() == previousHeadOffset
				&& !page.records().isEmpty();
		this.snapshotSearchOffset = isStateUnchanged ? page.records().get(page.records().size() - 1).offset() + 1 : 0;
	}

	/**
	 * Return whether the platform log answered the last read.
	 * @return {@code true} if it did; {@code false} before the first read
	 */
	public boolean isLogReachable() {
		return this.logReachable;
	}

	private void sleepBeforeRetry() {
		try {
			Thread.sleep(RETRY_INTERVAL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.closed = true;
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

}
