package io.flamingogap.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Identifies a request by its content, which is the same each time its caller repeats it.
 */
public final class RequestFingerprint {

	/** The colon distinguishes fingerprints from the ids of parts, which have none. */
	private static final String PREFIX = "request:";

	private static final int DIGEST_DIGITS = 16;

	private RequestFingerprint() {
	}

	/**
	 * Return the fingerprint of a request.
	 * @param account the name of the client account; empty if it has none
	 * @param method the HTTP method
	 * @param uri the path and the query
	 * @param parts the ids of all parts of its prompt
	 * @param body the body
	 * @return the fingerprint
	 */
	public static String of(String account, String method, String uri, List<String> parts, ByteBuffer body) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			for (String field : List.of(account, method, uri, String.join(",", parts))) {
				digest.update(field.getBytes(StandardCharsets.UTF_8));
				digest.update((byte) 0);
			}
			digest.update(body.duplicate());
			return PREFIX + HexFormat.of().formatHex(digest.digest()).substring(0, DIGEST_DIGITS);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	/**
	 * Return whether a suspect of a crash is a request.
	 * @param suspect the id of a part or the fingerprint of a request
	 * @return {@code false} if it is a part
	 */
	public static boolean isFingerprint(String suspect) {
		return suspect.startsWith(PREFIX);
	}

}
