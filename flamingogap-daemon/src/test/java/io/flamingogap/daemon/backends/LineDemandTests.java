package io.flamingogap.daemon.backends;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link LineDemand}.
 */
class LineDemandTests {

	private static final int LINES = 2_000_000;

	private static final int LINES_PER_REQUEST = 2;

	private final AtomicLong requested = new AtomicLong();

	private final AtomicLong refused = new AtomicLong();

	private final Flow.Subscription subscription = new Flow.Subscription() {
		@Override
		public void request(long lines) {
			((lines > 0) ? LineDemandTests.this.requested : LineDemandTests.this.refused).addAndGet(Math.max(1, lines));
		}

		@Override
		public void cancel() {
		}
	};

	// A stream was broken off since two threads requested the same lines, and the second
	// of
	// them none.
	@Test
	void threadsThatConsumeAtOnceRequestEachLineOnce() throws InterruptedException {
		LineDemand demand = new LineDemand(LINES_PER_REQUEST);
		CountDownLatch start = new CountDownLatch(1);
		Thread[] threads = { consumer(demand, start), consumer(demand, start) };
		start.countDown();
		for (Thread thread : threads) {
			thread.join();
		}
		assertThat(this.refused.get(), is(0L));
		assertThat(this.requested.get(), greaterThan(2L * LINES - LINES_PER_REQUEST - 1));
	}

	private Thread consumer(LineDemand demand, CountDownLatch start) {
		Thread thread = new Thread(() -> {
			try {
				start.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			for (int i = 0; i < LINES; i++) {
				demand.recordConsumed(this.subscription);
			}
		});
		thread.start();
		return thread;
	}

}
