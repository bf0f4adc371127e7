package io.flamingogap.testkit.metadata;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * What a {@link FloodingServer} sends in place of an answer.
 */
public enum Flood {

	/** A line of a head without end. */
	HEAD_LINE("", "x".repeat(Flood.BLOCK_BYTES)),

	/** A head with fields without end. */
	HEAD_FIELDS("HTTP/1.1 200 OK\r\n", "X-Field: 0123456789\r\n".repeat(500)),

	/** Informational responses without end. */
	INTERIM_RESPONSES("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(300)),

	/** Answers to other requests without end. */
	OTHER_ANSWERS("",
			"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nno".repeat(150)),

	/** A body without end in chunks of one byte. */
	BODY_PIECES(Flood.CHUNKED_HEAD, "1\r\nx\r\n".repeat(2_000)),

	/** A body without end in long chunks. */
	BODY_BLOCKS(Flood.CHUNKED_HEAD, "4000\r\n" + "x".repeat(Flood.BLOCK_BYTES) + "\r\n"),

	/** A body without end that has no framing. */
	UNFRAMED_BODY(Flood.HEAD + "\r\n", "x".repeat(Flood.BLOCK_BYTES)),

	/** Blank lines and comments without end, in which a stream has no event. */
	COMMENTS(Flood.CHUNKED_HEAD, "6\r\n: c\n\n\n\r\n".repeat(1_000)),

	/** The length of a chunk without end. */
	CHUNK_LENGTH(Flood.CHUNKED_HEAD, "0".repeat(Flood.BLOCK_BYTES)),

	/** Trailing fields without end. */
	TRAILERS(Flood.CHUNKED_HEAD + "0\r\n", "X-Field: 0123456789\r\n".repeat(500)),

	/** A long part of a body, or of an event, and then nothing. */
	HELD_BODY(Flood.CHUNKED_HEAD + "3e418\r\n" + "x".repeat(255_000), ""),

	/** The same in chunks of one byte, of which the last one is incomplete. */
	HELD_PIECES(Flood.CHUNKED_HEAD + "1\r\nx\r\n".repeat(255_000) + "1\r\n", "");

	private static final int BLOCK_BYTES = 16_384;

	private static final String HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n";

	private static final String CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

	private final String beginning;

	private final byte[] repetition;

	Flood(String beginning, String repetition) {
		this.beginning = beginning;
		this.repetition = repetition.getBytes(StandardCharsets.ISO_8859_1);
	}

	/**
	 * Send the bytes until the connection is closed, or until all were sent.
	 * @param attemptId the attempt that is answered
	 * @param out the connection
	 * @throws IOException if the connection is closed
	 */
	void send(String attemptId, OutputStream out) throws IOException {
		out.write(this.beginning.replace("%s", attemptId).getBytes(StandardCharsets.ISO_8859_1));
		while (this.repetition.length > 0) {
			out.write(this.repetition);
		}
	}

}
