package io.flamingogap.daemon.backends;

import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests more lines of a response once several were consumed. The thread that reads the
 * connection and the one that serves the caller both consume lines.
 */
final class LineDemand {

	private final int linesPerRequest;

	private final AtomicInteger consumed = new AtomicInteger();

	/**
	 * Create a demand without consumed lines.
	 * @param linesPerRequest how many lines are consumed before more are requested
	 */
	LineDemand(int linesPerRequest) {
		this.linesPerRequest = linesPerRequest;
	}

	/**
	 * Record that a line was consumed, and request as many as were consumed if there are
	 * enough.
	 * @param subscription the subscription to the lines
	 */
	void recordConsumed(Flow.Subscription subscription) {
		if (this.consumed.incrementAndGet() >= this.linesPerRequest) {
			int lines = this.consumed.getAndSet(0);
			// Another thread may have requested them meanwhile.
			if (lines > 0) {
				subscription.request(lines);
			}
		}
	}

}
