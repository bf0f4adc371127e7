package io.flamingogap.core.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

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
	 * Return the fingerprint of a request. Of the body, which may be long, it has the
	 * length and two checksums.
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
			digest.update(ByteBuffer.allocate(3 * Long.BYTES)
				.putLong(body.remaining())
				.putLong(checksum(new CRC32(), body))
				.putLong(checksum(new CRC32C(), body))
				.flip());
			return PREFIX + HexFormat.of().formatHex(digest.digest()).substring(0, DIGEST_DIGITS);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	private static long checksum(Checksum checksum, ByteBuffer body) {
		checksum.update(body.duplicate());
		return checksum.getValue();
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
