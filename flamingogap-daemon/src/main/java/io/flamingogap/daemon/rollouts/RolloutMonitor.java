package io.flamingogap.daemon.rollouts;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.rollout.TakeBack;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.platformlog.PlatformLogClient;
import io.flamingogap.daemon.platformlog.PlatformLogClient.LogPage;
import io.flamingogap.daemon.platformlog.PlatformLogClient.LogRecord;
import io.flamingogap.daemon.tasks.PeriodicTask;

/**
 * Periodically takes back candidates that the evidence shows to be bad, and stores
 * take-backs in the platform log, so that they are known after a restart of the whole
 * fleet. A take-back takes effect even if the log is unavailable.
 */
public final class RolloutMonitor implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long CHECK_INTERVAL_MILLIS = 250;

	private static final int CHECKS_PER_LOG_READ = 40;

	private static final int PAGE_RECORDS = 100;

	private final Rollouts rollouts;

	private final PlatformLogClient log;

	private final BlockingQueue<TakeBack> toAppend = new LinkedBlockingQueue<>();

	private final PeriodicTask task;

	private long nextOffset = 1;

	private long checks;

	/**
	 * Create a monitor that is not started.
	 * @param rollouts the rollouts to check
	 * @param log the platform log, which stores the take-backs
	 */
	public RolloutMonitor(Rollouts rollouts, PlatformLogClient log) {
		this.rollouts = rollouts;
		this.log = log;
		this.task = new PeriodicTask("rollout-judge", () -> CHECK_INTERVAL_MILLIS, this::check);
	}

	/**
	 * Start the periodic checks.
	 */
	public void start() {
		this.task.start();
	}

	/**
	 * Store a take-back in the platform log. Returns at once; the append is retried until
	 * the log accepts it.
	 * @param decision a decision of this node or of an operator at this node
	 */
	public void persist(TakeBack decision) {
		this.toAppend.add(decision);
	}

	private void check() {
		this.rollouts.takeBackRegressions();
		if (this.checks++ % CHECKS_PER_LOG_READ == 0) {
			readTakeBacks();
			appendTakeBacks();
		}
	}

	private void readTakeBacks() {
		Either<Failure, LogPage> page = this.log.read(PlatformLogClient.ROLLOUT_STREAM, this.nextOffset, PAGE_RECORDS,
				0);
		if (page.isLeft()) {
			return;
		}
		this.rollouts.recordContact();
		for (LogRecord logRecord : page.get().records()) {
			this.nextOffset = logRecord.offset() + 1;
			try {
				this.rollouts.takeBack(MAPPER.readValue(logRecord.body(), TakeBack.class));
			}
			catch (IOException ex) {
				logger.atWarning().log("take-back at offset %d can't be read: %s", logRecord.offset(), ex.getMessage());
			}
		}
	}

	private void appendTakeBacks() {
		TakeBack next = this.toAppend.peek();
		while (next != null) {
			String text = new String(Exchanges.toJsonBytes(next), StandardCharsets.UTF_8);
			if (this.log.append(PlatformLogClient.ROLLOUT_STREAM, text).isLeft()) {
				return;
			}
			this.toAppend.remove();
			next = this.toAppend.peek();
		}
	}

	@Override
	public void close() {
		this.task.close();
	}

}
