package io.flamingogap.core.stream;

import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The id of one event of a token stream, from which any entry node can go on.
 *
 * @param requestId the id of the request
 * @param version the version that answers it
 * @param position the position of the token, from 0
 * @param last whether the token ends the answer
 */
public record EventId(String requestId, String version, long position, boolean last) {

	private static final Pattern FORM = Pattern.compile("([A-Za-z0-9-]{1,80})/([a-z0-9-]{1,63})/([0-9]{1,9})(/end)?");

	public EventId {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(version, "version must not be null");
		if (position < 0) {
			throw new IllegalArgumentException("position must not be negative but was " + position);
		}
	}

	/**
	 * Parse the form written by {@link #toString()}.
	 * @param text the id
	 * @return the parsed id, if the text is one
	 */
	public static Optional<EventId> parse(String text) {
		Matcher matcher = FORM.matcher(text);
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
