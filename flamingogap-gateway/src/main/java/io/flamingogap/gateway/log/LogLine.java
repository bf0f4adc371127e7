package io.flamingogap.gateway.log;

import java.util.Objects;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * One structured log line: an event with fields, as a JSON object without its end.
 */
public final class LogLine {

	private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

	private final StringBuilder text = new StringBuilder(160);

	private LogLine(String event) {
		this.text.append("\"event\":\"").append(event).append('"');
	}

	/**
	 * Begin a line.
	 * @param event the name of the event
	 * @return the line
	 */
	public static LogLine of(String event) {
		return new LogLine(Objects.requireNonNull(event, "event must not be null"));
	}

	/**
	 * Add a text.
	 * @param field the name of the field
	 * @param value the text
	 * @return this line
	 */
	public LogLine with(String field, String value) {
		this.text.append(",\"").append(field).append("\":\"");
		ENCODER.quoteAsString(value, this.text);
		this.text.append('"');
		return this;
	}

	/**
	 * Add a number.
	 * @param field the name of the field, with its unit as a suffix
	 * @param value the number
	 * @return this line
	 */
	public LogLine with(String field, long value) {
		this.text.append(",\"").append(field).append("\":").append(value);
		return this;
	}

	/**
	 * Add a flag.
	 * @param field the name of the field
	 * @param value the flag
	 * @return this line
	 */
	public LogLine with(String field, boolean value) {
		this.text.append(",\"").append(field).append("\":").append(value);
		return this;
	}

	/**
	 * Return the fields of the line.
	 * @return the members of a JSON object, without braces
	 */
	@Override
	public String toString() {
		return this.text.toString();
	}

}
