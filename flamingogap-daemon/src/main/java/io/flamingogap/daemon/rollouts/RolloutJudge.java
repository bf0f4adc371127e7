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
import io.flamingogap.daemon.platformlog.PlatformLog;
import io.flamingogap.daemon.platformlog.PlatformLog.LogPage;
import io.flamingogap.daemon.platformlog.PlatformLog.LogRecord;
import io.flamingogap.daemon.tasks.PeriodicTask;

/**
 * Looks at the evidence at an interval, and keeps take-backs in the platform log, so that
 * a fleet that starts anew knows them. They take effect without the log.
 */
public final class RolloutJudge implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long LOOK_MILLIS = 250;

	private static final int LOOKS_PER_READ = 40;

	private static final int PAGE_RECORDS = 100;

	private final Rollouts rollouts;

	private final PlatformLog log;

	private final BlockingQueue<TakeBack> toAppend = new LinkedBlockingQueue<>();

	private final PeriodicTask task;

	private long nextOffset = 1;

	private long looks;

	/**
	 * Create a judge; it looks after {@link #start()}.
	 * @param rollouts the rollouts under way
	 * @param log the platform log
	 */
	public RolloutJudge(Rollouts rollouts, PlatformLog log) {
		this.rollouts = rollouts;
		this.log = log;
		this.task = new PeriodicTask("rollout-judge", () -> LOOK_MILLIS, this::look);
	}

	/**
	 * Begin to look.
	 */
	public void start() {
		this.task.start();
	}

	/**
	 * Keep a take-back of this node or its operators in the log.
	 * @param decision the decision
	 */
	public void keep(TakeBack decision) {
		this.toAppend.add(decision);
	}

	private void look() {
		this.rollouts.judge();
		if (this.looks++ % LOOKS_PER_READ == 0) {
			readKept();
			appendKept();
		}
	}

	private void readKept() {
		Either<Failure, LogPage> page = this.log.read(PlatformLog.ROLLOUT_STREAM, this.nextOffset, PAGE_RECORDS, 0);
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
				logger.atWarning().log("take-back %d can't be read: %s", logRecord.offset(), ex.getMessage());
			}
		}
	}

	private void appendKept() {
		TakeBack next = this.toAppend.peek();
		while (next != null) {
			String text = new String(Exchanges.toJsonBytes(next), StandardCharsets.UTF_8);
			if (this.log.append(PlatformLog.ROLLOUT_STREAM, text).isLeft()) {
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
