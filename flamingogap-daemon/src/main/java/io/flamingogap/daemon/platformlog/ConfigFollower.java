package io.flamingogap.daemon.platformlog;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.daemon.platformlog.PlatformLogClient.LogPage;

/**
 * Follows the configuration stream of the platform log on a thread of its own.
 */
public final class ConfigFollower implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int PAGE_RECORDS = 100;

	private static final long RETRY_MILLIS = 250;

	private final PlatformLogClient log;

	private final Configuration configuration;

	private final long waitMillis;

	private final Thread thread;

	private volatile boolean closed;

	private volatile boolean logReachable;

	private volatile long scanOffset;

	/**
	 * Create a follower; it reads after {@link #start()}.
	 * @param log the platform log
	 * @param configuration where records are applied
	 * @param waitMillis how long a read waits for a new record
	 */
	public ConfigFollower(PlatformLogClient log, Configuration configuration, long waitMillis) {
		this.log = log;
		this.configuration = configuration;
		this.waitMillis = waitMillis;
		this.thread = new Thread(this::follow, "config-follower");
		this.thread.setDaemon(true);
	}

	/**
	 * Begin to read.
	 */
	public void start() {
		this.thread.start();
	}

	private void follow() {
		while (!this.closed) {
			boolean read = tryReadPage();
			if (!read || this.waitMillis == 0) {
				pause();
			}
		}
	}

	/**
	 * A page that can't be taken is read again later; the follower never ends by itself.
	 * @return {@code true} if a page was read
	 */
	private boolean tryReadPage() {
		try {
			return readPage(this.waitMillis);
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("a page of the configuration stream can't be taken");
			return false;
		}
	}

	/**
	 * Read the next records without waiting for new ones.
	 * @return {@code true} if the log answered
	 */
	public boolean readNow() {
		return readPage(0);
	}

	private boolean readPage(long pageWaitMillis) {
		long next = Math.max(this.configuration.state().headOffset() + 1, this.scanOffset);
		Either<Failure, LogPage> page = this.log.read(PlatformLogClient.CONFIG_STREAM, next, PAGE_RECORDS,
				pageWaitMillis);
		if (page.isRight()) {
			apply(page.get());
		}
		else if (this.logReachable) {
			logger.atWarning().log("platform log can't be read: %s", page.getLeft());
		}
		this.logReachable = page.isRight();
		return page.isRight();
	}

	/**
	 * Apply a page. While the log has dropped the next record, the pages after it are
	 * looked through for a snapshot; once one is taken, reading goes on behind what it
	 * covers.
	 * @param page the page
	 */
	private void apply(LogPage page) {
		long before = this.configuration.state().headOffset();
		this.configuration.apply(page.records());
		boolean stuck = this.configuration.state().headOffset() == before && !page.records().isEmpty();
		this.scanOffset = stuck ? page.records().get(page.records().size() - 1).offset() + 1 : 0;
	}

	/**
	 * Return whether the last read was answered.
	 * @return {@code true} if it was
	 */
	public boolean isLogReachable() {
		return this.logReachable;
	}

	private void pause() {
		try {
			Thread.sleep(RETRY_MILLIS);
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
