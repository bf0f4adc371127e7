package io.flamingogap.gateway.log;

import java.util.Objects;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * Builds a structured log line that consists of an event and fields. The result is the
 * members of a JSON object; {@link JsonLogHandler} adds the braces and the common fields.
 */
public final class LogLine {

	private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

	private final StringBuilder members = new StringBuilder(160);

	private LogLine(String event) {
		this.members.append("\"event\":\"").append(event).append('"');
	}

	/**
	 * Create a line without fields.
	 * @param event the name of the event; not escaped
	 * @return the line
	 */
	public static LogLine of(String event) {
		return new LogLine(Objects.requireNonNull(event, "event must not be null"));
	}

	/**
	 * Add a text field.
	 * @param field the name of the field; not escaped
	 * @param value the text, which is escaped; must not be null
	 * @return this line
	 */
	public LogLine with(String field, String value) {
		this.members.append(",\"").append(field).append("\":\"");
		ENCODER.quoteAsString(value, this.members);
		this.members.append('"');
		return this;
	}

	/**
	 * Add a numeric field.
	 * @param field the name of the field, with the unit as a suffix if it has one; not
	 * escaped
	 * @param value the number in that unit
	 * @return this line
	 */
	public LogLine with(String field, long value) {
		this.members.append(",\"").append(field).append("\":").append(value);
		return this;
	}

	/**
	 * Add a boolean field.
	 * @param field the name of the field; not escaped
	 * @param value the value
	 * @return this line
	 */
	public LogLine with(String field, boolean value) {
		this.members.append(",\"").append(field).append("\":").append(value);
		return this;
	}

	/**
	 * Return the event and the fields.
	 * @return the members of a JSON object, without braces
	 */
	@Override
	public String toString() {
		return this.members.toString();
	}

}
