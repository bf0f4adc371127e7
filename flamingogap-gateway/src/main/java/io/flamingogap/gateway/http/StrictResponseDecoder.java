package io.flamingogap.gateway.http;

import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decoder of responses that fails on heads that {@link HttpResponseDecoder} accepts
 * although they violate RFC 9110 or RFC 9112. The result of a malformed response is a
 * message whose {@link HttpMessage#decoderResult()} is a failure.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

	private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		if (!STATUS_CODE.matcher(initialLine[1]).matches()) {
			throw new IllegalArgumentException("invalid status code: " + initialLine[1]);
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

}
