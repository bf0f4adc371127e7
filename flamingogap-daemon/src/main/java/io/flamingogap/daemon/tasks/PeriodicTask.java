package io.flamingogap.daemon.tasks;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;

/**
 * Runs a step repeatedly on a dedicated daemon thread. If the step throws an exception,
 * the exception is logged and the step is scheduled again as usual.
 */
public final class PeriodicTask implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final String name;

	private final LongSupplier intervalMillis;

	private final Runnable step;

	private final ScheduledExecutorService executor;

	/**
	 * Create a task that doesn't run until {@link #start()} is called.
	 * @param name the name of the thread
	 * @param intervalMillis supplies the delay in milliseconds from the end of one run to
	 * the start of the next
	 * @param step the step to run
	 */
	public PeriodicTask(String name, LongSupplier intervalMillis, Runnable step) {
		this.name = name;
		this.intervalMillis = intervalMillis;
		this.step = step;
		this.executor = Executors.newSingleThreadScheduledExecutor((runnable) -> {
			Thread thread = new Thread(runnable, name);
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Start the task. The first run begins immediately.
	 */
	public void start() {
		this.executor.execute(this::runAndSchedule);
	}

	private void runAndSchedule() {
		try {
			this.step.run();
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("a step of %s failed", this.name);
		}
		if (!this.executor.isShutdown()) {
			this.executor.schedule(this::runAndSchedule, this.intervalMillis.getAsLong(), TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
