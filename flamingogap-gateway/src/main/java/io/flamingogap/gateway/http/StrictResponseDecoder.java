package io.flamingogap.gateway.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/**
 * Decoder of responses that rejects malformed heads that {@link HttpResponseDecoder}
 * repairs or ignores: an invalid status (RFC 9110, section 15), a control byte in the
 * reason phrase, a blank in the name of a field, and folded lines (RFC 9112, sections 4
 * and 5). Interim responses are checked in the same way, and so are the names of
 * trailers.
 * <p>
 * Reports a folded line as a {@link CorruptedFrameException}, and the others as a message
 * whose {@link HttpMessage#decoderResult()} is a failure.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

	private static final int STATUS_CODE_LENGTH = 3;

	private static final char DELETE = 0x7f;

	private Part nextPart = Part.STATUS_LINE;

	private boolean responseHasNoBody;

	/**
	 * Set whether the next response has no body whatever its headers say.
	 * @param hasNoBody {@code true} for the response to a HEAD request
	 */
	public void setResponseHasNoBody(boolean hasNoBody) {
		this.responseHasNoBody = hasNoBody;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.responseHasNoBody || super.isContentAlwaysEmpty(message);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
		if (this.nextPart != Part.BODY && this.nextPart.hasFoldedLine(in)) {
			throw new CorruptedFrameException("a line of the head begins with a blank");
		}
		super.decode(context, in, out);
		if (!out.isEmpty()) {
			boolean ended = out.get(out.size() - 1) instanceof LastHttpContent last && last.decoderResult().isSuccess();
			this.nextPart = ended ? Part.STATUS_LINE : Part.BODY;
		}
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		this.nextPart = Part.FIELDS;
		if (!isStatusCode(initialLine[1])) {
			throw new IllegalArgumentException("invalid status code: " + initialLine[1]);
		}
		if (hasControlByte(initialLine[2])) {
			throw new IllegalArgumentException("control byte in a reason phrase");
		}
		return super.createMessage(initialLine);
	}

	private static boolean isStatusCode(String text) {
		return text.length() == STATUS_CODE_LENGTH && text.charAt(0) >= '1' && text.charAt(0) <= '5'
				&& isDigit(text.charAt(1)) && isDigit(text.charAt(2));
	}

	private static boolean isDigit(char value) {
		return value >= '0' && value <= '9';
	}

	private static boolean hasControlByte(String text) {
		for (int i = 0; i < text.length(); i++) {
			char value = text.charAt(i);
			if ((value < ' ' && value != '\t') || value == DELETE) {
				return true;
			}
		}
		return false;
	}

	// The superclass ends a name at a blank and ignores what follows up to the colon.
	@Override
	protected AsciiString splitHeaderName(byte[] line, int start, int length) {
		if (line[start + length] != ':') {
			throw new IllegalArgumentException("blank in a field name");
		}
		return super.splitHeaderName(line, start, length);
	}

	/**
	 * What the next bytes belong to. They begin at the beginning of a line, unless they
	 * belong to the body.
	 */
	private enum Part {

		/** The status line, which empty lines may precede. */
		STATUS_LINE {
			@Override
			boolean hasFoldedLine(ByteBuf in) {
				int start = in.readerIndex();
				while (start < in.writerIndex() && isLineEnd(in.getByte(start))) {
					start++;
				}
				return hasFoldedLineFrom(in, start);
			}
		},

		/** The fields of the head. */
		FIELDS {
			@Override
			boolean hasFoldedLine(ByteBuf in) {
				return hasFoldedLineFrom(in, in.readerIndex());
			}
		},

		/** The body with its trailers, or what follows a malformed head. */
		BODY {
			@Override
			boolean hasFoldedLine(ByteBuf in) {
				return false;
			}
		};

		/**
		 * Return whether a line of the head begins with a blank, which continues the line
		 * before it.
		 * @param in the received bytes that weren't decoded yet
		 * @return {@code false} also while no such line has arrived
		 */
		abstract boolean hasFoldedLine(ByteBuf in);

		static boolean hasFoldedLineFrom(ByteBuf in, int start) {
			int lineStart = start;
			while (lineStart < in.writerIndex() && !isLineEnd(in.getByte(lineStart))) {
				if (in.getByte(lineStart) == ' ' || in.getByte(lineStart) == '\t') {
					return true;
				}
				int lineEnd = in.indexOf(lineStart, in.writerIndex(), (byte) '\n');
				if (lineEnd < 0) {
					return false;
				}
				lineStart = lineEnd + 1;
			}
			return false;
		}

		static boolean isLineEnd(byte value) {
			return value == '\r' || value == '\n';
		}

	}

}
