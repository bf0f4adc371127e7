package io.flamingogap.core.stream;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The id of one server-sent event of a token stream. A caller whose connection broke
 * sends the last id that it received, and any entry node can resume the stream from it.
 *
 * @param requestId the id of the request
 * @param version the version of the service that answers the request
 * @param position the position of the token in the answer, starting at 0
 * @param last whether the token is the last one of the answer
 */
public record EventId(String requestId, String version, long position, boolean last) {

	private static final Pattern PATTERN = Pattern
		.compile("([A-Za-z0-9-]{1,80})/([a-z0-9-]{1,63})/([0-9]{1,9})(/end)?");

	public EventId {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(version, "version must not be null");
		if (position < 0) {
			throw new IllegalArgumentException("position must not be negative but was " + position);
		}
	}

	/**
	 * Parse an id from the form written by {@link #toString()}.
	 * @param text the text of the id
	 * @return the id; empty if the text is malformed
	 */
	public static Optional<EventId> parse(String text) {
		Matcher matcher = PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		return Optional.of(new EventId(matcher.group(1), matcher.group(2), Long.parseLong(matcher.group(3)),
				matcher.group(4) != null));
	}

	@Override
	public String toString() {
		return this.requestId + "/" + this.version + "/" + this.position + (this.last ? "/end" : "");
	}

}
