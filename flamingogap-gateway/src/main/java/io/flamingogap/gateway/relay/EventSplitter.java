package io.flamingogap.gateway.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits the bytes of a server-sent event stream into complete events, to be forwarded,
 * and an incomplete one, which is kept until the rest of it arrives. The caller never
 * receives part of an event if the connection to the server breaks.
 * <p>
 * Not thread-safe.
 */
final class EventSplitter {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private static final char COMMENT = ':';

	private ByteBuf pending = Unpooled.EMPTY_BUFFER;

	private Optional<String> lastEventId = Optional.empty();

	/**
	 * Append bytes of the stream.
	 * @param chunk the bytes; copied, not released
	 * @return all events that are complete now and were not returned before, in one
	 * buffer, to be released by the caller; may be empty
	 */
	ByteBuf append(ByteBuf chunk) {
		int previousBytes = this.pending.readableBytes();
		if (previousBytes == 0) {
			this.pending.release();
			this.pending = Unpooled.buffer(chunk.readableBytes());
		}
		this.pending.writeBytes(chunk);
		int end = endOfLastEvent(this.pending, previousBytes);
		if (end == 0) {
			return Unpooled.EMPTY_BUFFER;
		}
		ByteBuf events = this.pending;
		this.pending = (end < events.writerIndex()) ? events.copy(end, events.writerIndex() - end)
				: Unpooled.EMPTY_BUFFER;
		events.writerIndex(end);
		updateLastEventId(events);
		return events;
	}

	/**
	 * Find the blank line that ends the last complete event.
	 * @param bytes the bytes of the stream from the beginning of an event
	 * @param searchedBytes the number of bytes that contain no end of an event
	 * @return the index after the blank line; 0 if there is none
	 */
	private static int endOfLastEvent(ByteBuf bytes, int searchedBytes) {
		for (int i = bytes.writerIndex() - 1; i >= Math.max(searchedBytes, 1); i--) {
			if (bytes.getByte(i) != '\n') {
				continue;
			}
			byte before = bytes.getByte(i - 1);
			boolean afterCarriageReturn = before == '\r' && i >= 2 && bytes.getByte(i - 2) == '\n';
			if (before == '\n' || afterCarriageReturn) {
				return i + 1;
			}
		}
		return 0;
	}

	private void updateLastEventId(ByteBuf events) {
		int lineStart = events.readerIndex();
		int end = events.writerIndex();
		while (lineStart < end) {
			int newline = events.indexOf(lineStart, end, (byte) '\n');
			int lineEnd = (newline < 0) ? end : newline;
			if (startsWithIdField(events, lineStart, lineEnd)) {
				int valueStart = lineStart + ID_FIELD.length;
				this.lastEventId = Optional
					.of(events.toString(valueStart, lineEnd - valueStart, StandardCharsets.UTF_8).strip());
			}
			lineStart = lineEnd + 1;
		}
	}

	private static boolean startsWithIdField(ByteBuf events, int start, int end) {
		if (end - start < ID_FIELD.length) {
			return false;
		}
		for (int i = 0; i < ID_FIELD.length; i++) {
			if (events.getByte(start + i) != ID_FIELD[i]) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Remove and return the bytes after the last complete event. Call it after the stream
	 * has ended.
	 * @return the bytes, to be released by the caller; may be empty
	 */
	ByteBuf takeRemainder() {
		ByteBuf remainder = this.pending;
		this.pending = Unpooled.EMPTY_BUFFER;
		return remainder;
	}

	/**
	 * Return the length of the incomplete event.
	 * @return the bytes after the last complete event
	 */
	int pendingBytes() {
		return this.pending.readableBytes();
	}

	/**
	 * Return the memory that the incomplete event takes.
	 * @return the number of bytes, which is at least its length
	 */
	int heldBytes() {
		return this.pending.capacity();
	}

	/**
	 * Return whether an event has begun and isn't complete. Blank lines and comments
	 * aren't part of an event.
	 * @return {@code true} if the stream can't end here
	 */
	boolean isInsideEvent() {
		return this.pending.toString(StandardCharsets.UTF_8)
			.lines()
			.anyMatch((line) -> !line.isBlank() && line.charAt(0) != COMMENT);
	}

	/**
	 * Discard an incomplete event. Another server resumes the stream after the last
	 * complete one.
	 */
	void discardIncomplete() {
		this.pending.release();
		this.pending = Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Return the id of the last complete event that had one.
	 * @return the id; empty if no event had one
	 */
	Optional<String> lastEventId() {
		return this.lastEventId;
	}

}
