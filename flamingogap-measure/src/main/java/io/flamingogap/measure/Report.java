package io.flamingogap.measure;

import java.util.Locale;

import org.HdrHistogram.Histogram;

/**
 * Prints titles and rows of figures to standard output.
 */
final class Report {

	private static final double MICROS_PER_MILLI = 1_000.0;

	private Report() {
	}

	static void title(String text) {
		System.out.println("\n## " + text);
	}

	static void row(String format, Object... values) {
		System.out.println(String.format(Locale.ROOT, format, values));
	}

	/**
	 * Print the percentiles of a histogram of microseconds.
	 * @param name the name of the row
	 * @param micros the latencies in microseconds
	 */
	static void percentiles(String name, Histogram micros) {
		row("%-28s n=%-7d p50=%9.3f ms  p95=%9.3f ms  p99=%9.3f ms", name, micros.getTotalCount(), millis(micros, 50),
				millis(micros, 95), millis(micros, 99));
	}

	static double millis(Histogram micros, double percentile) {
		return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	static Histogram histogram() {
		return new Histogram(3_600_000_000L, 3);
	}

}
