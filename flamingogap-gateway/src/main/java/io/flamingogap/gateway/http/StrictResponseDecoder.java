package io.flamingogap.gateway.http;

import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

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

}
