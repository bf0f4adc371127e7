package io.flamingogap.gateway.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts a stream of server-sent events at the ends of events, so that a break in the
 * middle of an event doesn't reach the caller.
 * <p>
 * Not safe for use by several threads.
 */
final class EventSplitter {

	private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

	private ByteBuf pending = Unpooled.EMPTY_BUFFER;

	private Optional<String> lastId = Optional.empty();

	/**
	 * Add bytes as they came.
	 * @param piece the bytes; not kept
	 * @return the events that are complete now; owned by the caller, maybe empty
	 */
	ByteBuf add(ByteBuf piece) {
		ByteBuf all = Unpooled.buffer(this.pending.readableBytes() + piece.readableBytes());
		all.writeBytes(this.pending).writeBytes(piece);
		int end = endOfLastEvent(all);
		this.pending.release();
		this.pending = all.copy(end, all.readableBytes() - end);
		all.writerIndex(end);
		readLastId(all);
		return all;
	}

	private static int endOfLastEvent(ByteBuf bytes) {
		for (int i = bytes.writerIndex() - 1; i > bytes.readerIndex(); i--) {
			if (bytes.getByte(i) != '\n') {
				continue;
			}
			byte before = bytes.getByte(i - 1);
			boolean afterCarriageReturn = before == '\r' && i >= 2 && bytes.getByte(i - 2) == '\n';
			if (before == '\n' || afterCarriageReturn) {
				return i + 1 - bytes.readerIndex();
			}
		}
		return 0;
	}

	private void readLastId(ByteBuf events) {
		int lineStart = events.readerIndex();
		int end = events.writerIndex();
		while (lineStart < end) {
			int newline = events.indexOf(lineStart, end, (byte) '\n');
			int lineEnd = (newline < 0) ? end : newline;
			if (startsWithId(events, lineStart, lineEnd)) {
				int valueStart = lineStart + ID_FIELD.length;
				this.lastId = Optional
					.of(events.toString(valueStart, lineEnd - valueStart, StandardCharsets.UTF_8).strip());
			}
			lineStart = lineEnd + 1;
		}
	}

	private static boolean startsWithId(ByteBuf events, int start, int end) {
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
	 * Return the bytes after the last complete event, once the stream has ended.
	 * @return the bytes; owned by the caller, maybe empty
	 */
	ByteBuf rest() {
		ByteBuf rest = this.pending;
		this.pending = Unpooled.EMPTY_BUFFER;
		return rest;
	}

	/**
	 * Drop an incomplete event, since another server goes on after the last complete one.
	 */
	void dropIncomplete() {
		this.pending.release();
		this.pending = Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Return the id of the last complete event.
	 * @return the id, if an event had one
	 */
	Optional<String> lastId() {
		return this.lastId;
	}

}
