package io.flamingogap.core.request;

import java.util.Objects;
import java.util.regex.Pattern;

import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.node.NodeId;

/**
 * An idempotency key: a prefix from an entry answer that names the only node run that may
 * dispatch it, and a part that the caller draws.
 *
 * @param issuer the node run that the prefix names
 * @param issuedAtMillis when the prefix was issued, in milliseconds since 1970 UTC
 * @param callerPart the caller's own part
 */
public record RequestKey(NodeId issuer, long issuedAtMillis, String callerPart) {

	/** The longest key that is read. */
	public static final int MAX_LENGTH = 200;

	private static final Pattern CALLER_PART = Pattern.compile("[A-Za-z0-9_-]{8,100}");

	private static final int RADIX = 36;

	private static final int PARTS = 4;

	public RequestKey {
		Objects.requireNonNull(issuer, "issuer must not be null");
		if (issuedAtMillis < 0) {
			throw new IllegalArgumentException("issuedAtMillis must not be negative but was " + issuedAtMillis);
		}
		if (!CALLER_PART.matcher(callerPart).matches()) {
			throw new IllegalArgumentException("callerPart must match " + CALLER_PART);
		}
	}

	/**
	 * Return the prefix that a node puts into its entry answers.
	 * @param issuer the node run whose callers will use it
	 * @param nowMillis the present time
	 * @return the prefix, to which a caller appends its own part
	 */
	public static String prefix(NodeId issuer, long nowMillis) {
		return issuer + "~" + Long.toString(nowMillis, RADIX) + "~";
	}

	/**
	 * Parse a key.
	 * @param text a prefix followed by the caller's part
	 * @return the key, or a failure that tells where to get a prefix
	 */
	public static Either<Failure, RequestKey> parse(String text) {
		if (text.length() > MAX_LENGTH) {
			return Either.left(invalid("longer than " + MAX_LENGTH + " characters"));
		}
		String[] parts = text.split("~", -1);
		if (parts.length != PARTS) {
			return Either.left(invalid("without a prefix"));
		}
		try {
			NodeId issuer = NodeId.parse(parts[0] + "~" + parts[1]);
			return Either.right(new RequestKey(issuer, Long.parseLong(parts[2], RADIX), parts[3]));
		}
		catch (IllegalArgumentException ex) {
			return Either.left(invalid("not well-formed: " + ex.getMessage()));
		}
	}

	private static Failure invalid(String fault) {
		return Failure.notRun(ProblemType.KEY_REQUIRED, Step.PARSE, "caller",
				"the idempotency key is " + fault + "; GET /v1/entry gives prefixes, append 8 or more characters");
	}

	@Override
	public String toString() {
		return prefix(this.issuer, this.issuedAtMillis) + this.callerPart;
	}

}
