package io.flamingogap.gateway.time;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Provides the clocks of this process: a monotonic clock, and the time of day, which may
 * jump.
 */
public final class NodeClock {

	private final LongSupplier nanoTimeSource;

	private final LongSupplier timeOfDayMillisSource;

	/**
	 * Create a clock from two sources.
	 * @param nanoTimeSource supplies the monotonic clock, in nanoseconds
	 * @param timeOfDayMillisSource supplies the time of day, in milliseconds since 1970
	 * UTC
	 */
	public NodeClock(LongSupplier nanoTimeSource, LongSupplier timeOfDayMillisSource) {
		this.nanoTimeSource = nanoTimeSource;
		this.timeOfDayMillisSource = timeOfDayMillisSource;
	}

	/**
	 * Return the monotonic clock, for measuring durations.
	 * @return milliseconds since an arbitrary origin
	 */
	public long steadyMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.nanoTimeSource.getAsLong());
	}

	/**
	 * Return the time of day, which may jump.
	 * @return milliseconds since 1970 UTC
	 */
	public long timeOfDayMillis() {
		return this.timeOfDayMillisSource.getAsLong();
	}

}
