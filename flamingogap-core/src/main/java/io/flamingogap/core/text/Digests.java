package io.flamingogap.core.text;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * SHA-256 digests and message authentication codes.
 */
public final class Digests {

	private static final String MAC_ALGORITHM = "HmacSHA256";

	private Digests() {
	}

	/**
	 * Return the SHA-256 digest of a text.
	 * @param text the text, encoded as UTF-8
	 * @return 64 lower-case hexadecimal digits
	 */
	public static String sha256(String text) {
		return sha256(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Return the SHA-256 digest of a byte array.
	 * @param bytes the bytes
	 * @return 64 lower-case hexadecimal digits
	 */
	public static String sha256(byte[] bytes) {
		return HexFormat.of().formatHex(sha256Bytes(bytes));
	}

	private static byte[] sha256Bytes(byte[] bytes) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(bytes);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	/**
	 * Return the first 64 bits of the SHA-256 digest of a text.
	 * @param text the text, encoded as UTF-8
	 * @return the first 8 bytes as a big-endian number
	 */
	public static long sha256First64Bits(String text) {
		return ByteBuffer.wrap(sha256Bytes(text.getBytes(StandardCharsets.UTF_8))).getLong();
	}

	/**
	 * Return the HMAC-SHA-256 of a message.
	 * @param secret the shared secret, encoded as UTF-8
	 * @param message the message
	 * @return the code, 32 bytes
	 */
	public static byte[] hmac(String secret, byte[] message) {
		try {
			Mac mac = Mac.getInstance(MAC_ALGORITHM);
			mac.init(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), MAC_ALGORITHM));
			return mac.doFinal(message);
		}
		catch (NoSuchAlgorithmException | InvalidKeyException ex) {
			throw new IllegalStateException(
					MAC_ALGORITHM + ", which every Java platform has, must accept the secret as a key", ex);
		}
	}

	/**
	 * Compare two authentication codes in constant time, so that the duration doesn't
	 * reveal the position of the first difference.
	 * @param first the first code
	 * @param second the second code
	 * @return {@code true} if they are equal
	 */
	public static boolean constantTimeEquals(byte[] first, byte[] second) {
		return MessageDigest.isEqual(first, second);
	}

}
