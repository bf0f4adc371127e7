package io.flamingogap.core.servers;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What a registration says about how much longer its server is cold.
 *
 * @param millis the remaining time in milliseconds; empty if the registration doesn't
 * tell it
 * @param unreadable the start of the value that can't be understood; empty if there is
 * none
 */
public record RemainingColdTime(OptionalLong millis, String unreadable) {

	/** The registration has no such value. */
	public static final RemainingColdTime NOT_TOLD = new RemainingColdTime(OptionalLong.empty(), "");

	/** The server is not cold. */
	public static final RemainingColdTime ZERO = new RemainingColdTime(OptionalLong.of(0), "");

	/** Longer times are not believed. */
	private static final long MAX_MILLIS = 3_600_000;

	private static final int MAX_UNREADABLE_LENGTH = 40;

	public RemainingColdTime {
		Objects.requireNonNull(millis, "millis must not be null");
		Objects.requireNonNull(unreadable, "unreadable must not be null");
	}

	/**
	 * Interpret a value that a server registered.
	 * @param value a number of milliseconds; fractions are rounded up
	 * @return the time; unreadable if the value isn't a number, is negative or exceeds an
	 * hour
	 */
	public static RemainingColdTime of(Object value) {
		if (value instanceof Number number) {
			double millis = Math.ceil(number.doubleValue());
			if (millis >= 0 && millis <= MAX_MILLIS) {
				return new RemainingColdTime(OptionalLong.of((long) millis), "");
			}
		}
		String text = String.valueOf(value);
		return new RemainingColdTime(OptionalLong.empty(),
				text.substring(0, Math.min(MAX_UNREADABLE_LENGTH, text.length())));
	}

}
