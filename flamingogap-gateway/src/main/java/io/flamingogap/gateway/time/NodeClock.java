package io.flamingogap.gateway.time;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The clocks of this process: one that never jumps, and the time of day, which may.
 */
public final class NodeClock {

	private final LongSupplier nanoTime;

	private final LongSupplier timeOfDayMillis;

	/**
	 * Create a clock.
	 * @param nanoTime a clock that never jumps, in nanoseconds
	 * @param timeOfDayMillis the time of day, in milliseconds since 1970 UTC
	 */
	public NodeClock(LongSupplier nanoTime, LongSupplier timeOfDayMillis) {
		this.nanoTime = nanoTime;
		this.timeOfDayMillis = timeOfDayMillis;
	}

	/**
	 * Return a time to measure spans with.
	 * @return milliseconds since some moment
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
