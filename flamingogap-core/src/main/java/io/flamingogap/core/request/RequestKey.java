package io.flamingogap.core.request;

import java.util.Objects;
import java.util.regex.Pattern;

import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.node.NodeId;

/**
 * An idempotency key: a prefix that an entry node issued, followed by a part that the
 * caller generates. The prefix names the node incarnation that first owns the key and is
 * the only one that may dispatch its request until it commits the key to a successor.
 *
 * @param issuer the node incarnation that issued the prefix
 * @param issuedAtMillis the issue time of the prefix, in milliseconds since 1970 UTC
 * @param callerPart the caller's part, 8 to 100 characters
 */
public record RequestKey(NodeId issuer, long issuedAtMillis, String callerPart) {

	/** The maximum number of characters of a key that {@link #parse} accepts. */
	public static final int MAX_LENGTH = 200;

	private static final Pattern CALLER_PART_PATTERN = Pattern.compile("[A-Za-z0-9_-]{8,100}");

	private static final int TIME_RADIX = 36;

	private static final int PART_COUNT = 4;

	public RequestKey {
		Objects.requireNonNull(issuer, "issuer must not be null");
		if (issuedAtMillis < 0) {
			throw new IllegalArgumentException("issuedAtMillis must not be negative but was " + issuedAtMillis);
		}
		if (!CALLER_PART_PATTERN.matcher(callerPart).matches()) {
			throw new IllegalArgumentException(
					"callerPart must match " + CALLER_PART_PATTERN + " but was '" + callerPart + "'");
		}
	}

	/**
	 * Return a key prefix for the answers of {@code GET /v1/entry}.
	 * @param issuer the node incarnation that owns the keys with this prefix
	 * @param nowMillis the issue time in milliseconds since 1970 UTC
	 * @return the prefix, to which callers append their own part
	 */
	public static String prefix(NodeId issuer, long nowMillis) {
		return issuer + "~" + Long.toString(nowMillis, TIME_RADIX) + "~";
	}

	/**
	 * Parse a key from the form written by {@link #toString()}.
	 * @param text a prefix followed by the caller's part
	 * @return the key, or a failure whose detail says where to get a prefix
	 */
	public static Either<Failure, RequestKey> parse(String text) {
		if (text.length() > MAX_LENGTH) {
			return Either.left(invalid("longer than " + MAX_LENGTH + " characters"));
		}
		String[] parts = text.split("~", -1);
		if (parts.length != PART_COUNT) {
			return Either.left(invalid("not a prefix followed by a caller part without '~' (parts separated by '~': "
					+ parts.length + ", expected: " + PART_COUNT + ")"));
		}
		try {
			NodeId issuer = NodeId.parse(parts[0] + "~" + parts[1]);
			return Either.right(new RequestKey(issuer, Long.parseLong(parts[2], TIME_RADIX), parts[3]));
		}
		catch (IllegalArgumentException ex) {
			return Either.left(invalid("not an unchanged prefix followed by a valid caller part: " + ex.getMessage()));
		}
	}

	private static Failure invalid(String reason) {
		return Failure.notRun(ProblemType.KEY_REQUIRED, Step.PARSE, "caller",
				"the idempotency key is " + reason + "; GET /v1/entry returns prefixes, append at least 8 characters");
	}

	@Override
	public String toString() {
		return prefix(this.issuer, this.issuedAtMillis) + this.callerPart;
	}

}
