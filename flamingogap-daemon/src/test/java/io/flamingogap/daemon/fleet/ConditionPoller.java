package io.flamingogap.daemon.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Conditions that have to become true in a while.
 */
final class ConditionPoller {

	/** Many times what a machine under load takes. */
	private static final long PATIENCE_MILLIS = 20_000;

	private static final long POLL_MILLIS = 20;

	private ConditionPoller() {
	}

	/**
	 * Wait for a condition that has to become true.
	 * @param what what is waited for
	 * @param condition the condition; failures to reach a node count as false
	 */
	static void await(String what, Callable<Boolean> condition) throws Exception {
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS);
		while (!holds(condition)) {
			if (System.nanoTime() > deadlineNanos) {
				throw new AssertionError("not within " + PATIENCE_MILLIS + " ms: " + what);
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
	}

	private static boolean holds(Callable<Boolean> condition) throws Exception {
		try {
			return condition.call();
		}
		catch (IOException | UncheckedIOException ex) {
			// A node that can't be reached yet is what is waited for.
			return false;
		}
	}

}
