package io.flamingogap.gateway.time;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Provides the clocks of this process: a monotonic clock, and the time of day, which may
 * jump.
 */
public final class NodeClock {

	private final LongSupplier nanoTime;

	private final LongSupplier timeOfDayMillis;

	/**
	 * Create a clock from two sources.
	 * @param nanoTime supplies the monotonic clock, in nanoseconds
	 * @param timeOfDayMillis supplies the time of day, in milliseconds since 1970 UTC
	 */
	public NodeClock(LongSupplier nanoTime, LongSupplier timeOfDayMillis) {
		this.nanoTime = nanoTime;
		this.timeOfDayMillis = timeOfDayMillis;
	}

	/**
	 * Return the monotonic clock, for measuring durations.
	 * @return milliseconds since an arbitrary origin
	 */
	public long steadyMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.nanoTime.getAsLong());
	}

	/**
	 * Return the time of day, which may jump.
	 * @return milliseconds since 1970 UTC
	 */
	public long timeOfDayMillis() {
		return this.timeOfDayMillis.getAsLong();
	}

}
