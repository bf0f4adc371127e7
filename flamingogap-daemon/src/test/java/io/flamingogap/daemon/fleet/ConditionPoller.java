package io.flamingogap.daemon.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Utility that waits for conditions.
 */
final class ConditionPoller {

	/** Many times the duration that conditions take on a machine under load. */
	private static final long TIMEOUT_MILLIS = 20_000;

	private static final long POLL_INTERVAL_MILLIS = 20;

	private ConditionPoller() {
	}

	/**
	 * Wait until a condition is true, and fail the test if that takes too long.
	 * @param description the text that names the condition in the failure
	 * @param condition the condition; an I/O failure counts as false
	 */
	static void await(String description, Callable<Boolean> condition) throws Exception {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
		while (!isTrue(condition)) {
			if (System.nanoTime() > deadlineNanos) {
				throw new AssertionError("not within " + TIMEOUT_MILLIS + " ms: " + description);
			}
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
		}
	}

	private static boolean isTrue(Callable<Boolean> condition) throws Exception {
		try {
			return condition.call();
		}
		catch (IOException | UncheckedIOException ex) {
			// The node may not accept connections yet.
			return false;
		}
	}

}
