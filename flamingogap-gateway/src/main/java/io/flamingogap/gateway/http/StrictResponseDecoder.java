package io.flamingogap.gateway.http;

import java.util.List;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/**
 * Decoder of responses that fails on heads that {@link HttpResponseDecoder} accepts
 * although they violate RFC 9110 or RFC 9112, or whose lines RFC 9112 allows a gateway to
 * reject. The result of a malformed response is a message whose
 * {@link HttpMessage#decoderResult()} is a failure, or a {@link CorruptedFrameException}.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

	private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

	private static final Pattern REASON_PHRASE = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");

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
		if (this.nextPart.hasFoldedLine(in)) {
			throw new CorruptedFrameException("a line of the head begins with a blank");
		}
		super.decode(context, in, out);
		for (Object message : out) {
			if (message instanceof LastHttpContent last && last.decoderResult().isSuccess()) {
				this.nextPart = Part.STATUS_LINE;
			}
			else if (message instanceof HttpResponse) {
				this.nextPart = Part.BODY;
			}
		}
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		this.nextPart = Part.FIELDS;
		if (!STATUS_CODE.matcher(initialLine[1]).matches()) {
			throw new IllegalArgumentException("invalid status code: " + initialLine[1]);
		}
		if (!REASON_PHRASE.matcher(initialLine[2]).matches()) {
			throw new IllegalArgumentException("control byte in a reason phrase");
		}
		return super.createMessage(initialLine);
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
	 * Part of a response whose first line the next bytes contain or begin.
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
				return hasFoldedLineFrom(start, in);
			}
		},

		/** The fields of the head. */
		FIELDS {
			@Override
			boolean hasFoldedLine(ByteBuf in) {
				return hasFoldedLineFrom(in.readerIndex(), in);
			}
		},

		/** The body, or what follows a malformed head; any bytes are valid. */
		BODY {
			@Override
			boolean hasFoldedLine(ByteBuf in) {
				return false;
			}
		};

		/**
		 * Return whether a line that begins in a buffer, up to the end of the head,
		 * begins with a blank.
		 * @param in the received bytes, from the beginning of a line
		 * @return {@code true} if the head is malformed or continues a line on the next
		 */
		abstract boolean hasFoldedLine(ByteBuf in);

		static boolean hasFoldedLineFrom(int start, ByteBuf in) {
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
