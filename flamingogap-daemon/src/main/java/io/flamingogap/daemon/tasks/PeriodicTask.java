package io.flamingogap.daemon.tasks;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;

/**
 * A step that is repeated on a thread of its own. A step that fails is logged and
 * repeated like any other.
 */
public final class PeriodicTask implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final String name;

	private final LongSupplier intervalMillis;

	private final Runnable step;

	private final ScheduledExecutorService executor;

	/**
	 * Create a task; it runs after {@link #start()}.
	 * @param name the name of its thread
	 * @param intervalMillis the time from the end of a step to the next one
	 * @param step the step
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
	 * Begin with the first step at once.
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
