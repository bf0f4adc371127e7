package io.flamingogap.gateway.time;

import com.google.common.flogger.FluentLogger;

import io.flamingogap.gateway.log.LogLine;

/**
 * Task that logs an unexpected exception instead of passing it on. An event loop doesn't
 * run a periodic task again once it has thrown one.
 */
public final class LoggedTask implements Runnable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final String name;

	private final Runnable task;

	private LoggedTask(String name, Runnable task) {
		this.name = name;
		this.task = task;
	}

	/**
	 * Wrap a task.
	 * @param name names the task in the log
	 * @param task the task
	 * @return a task that throws no exception
	 */
	public static LoggedTask of(String name, Runnable task) {
		return new LoggedTask(name, task);
	}

	@Override
	public void run() {
		try {
			this.task.run();
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("%s", LogLine.of("task failed").with("task", this.name));
		}
	}

}
