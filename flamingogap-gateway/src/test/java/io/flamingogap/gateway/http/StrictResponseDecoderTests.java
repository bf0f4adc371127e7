package io.flamingogap.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests of {@link StrictResponseDecoder} with responses that arrive in pieces.
 */
class StrictResponseDecoderTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Note: 1\r\n";

	/**
	 * Decode a response that arrives in two pieces, and then one that arrives byte by
	 * byte.
	 * @param response the response
	 * @param expectedResult what {@link #decode} returns for each
	 */
	private static void assertDecodedInPieces(String response, String expectedResult) {
		for (int i = 0; i < response.length(); i++) {
			assertThat(decode(response.substring(0, i), response.substring(i)), startsWith(expectedResult));
		}
		assertThat(decode(response.split("")), startsWith(expectedResult));
	}

	private static void assertDecodedTo(String response, String expectedResult) {
		assertDecodedInPieces(response, expectedResult);
		assertThat(decode(response.split("")), is(expectedResult));
	}

	private static String decode(String... pieces) {
		EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder());
		try {
			for (String piece : pieces) {
				channel.writeInbound(Unpooled.copiedBuffer(piece, StandardCharsets.ISO_8859_1));
			}
			channel.finish();
			return describe(channel);
		}
		catch (DecoderException ex) {
			return "malformed: " + ex.getMessage();
		}
		finally {
			channel.releaseInbound();
		}
	}

	private static String describe(EmbeddedChannel channel) {
		StringBuilder description = new StringBuilder();
		for (HttpObject message = channel.readInbound(); message != null; message = channel.readInbound()) {
			if (message.decoderResult().isFailure()) {
				return "malformed: " + message.decoderResult().cause().getMessage();
			}
			if (message instanceof HttpResponse head) {
				description.append(head.status().code()).append(' ');
			}
			if (message instanceof HttpContent content) {
				description.append(content.content().toString(StandardCharsets.ISO_8859_1));
				content.release();
			}
		}
		return description.toString();
	}

	@ParameterizedTest
	@ValueSource(strings = { " X-Other: 2\r\n", "\tX-Other: 2\r\n", " \r\n", "X-Other: 2\r\n\t3\r\n" })
	void lineThatBeginsWithABlankIsMalformed(String lines) {
		String expected = "malformed: a line of the head begins with a blank";
		assertDecodedInPieces(HEAD + lines + "\r\nbody", expected);
		assertDecodedInPieces("\r\n\r\n" + HEAD + lines + "\r\nbody", expected);
		assertDecodedInPieces("HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD + lines + "\r\nbody", expected);
		assertDecodedInPieces(HEAD + "Content-Length: 0\r\n\r\n" + HEAD + lines + "\r\nbody", expected);
	}

	@ParameterizedTest
	@ValueSource(strings = { "body", "\r\n body\r\n\tbody", " body", "" })
	void bodyMayContainLinesThatBeginWithABlank(String body) {
		String length = "Content-Length: " + body.length() + "\r\n\r\n" + body;
		assertDecodedTo(HEAD + "\r\n" + body, "200 " + body);
		assertDecodedTo(HEAD + length, "200 " + body);
		assertDecodedTo("HTTP/1.1 100 Continue\r\n\r\n\r\n" + HEAD + length, "100 200 " + body);
		assertDecodedTo(HEAD + length + HEAD + length, "200 " + body + "200 " + body);
		if (!body.isEmpty()) {
			assertDecodedTo(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n"
					+ body + "\r\n0\r\n\r\n", "200 " + body);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "X Other: 2\r\n", "Content-Length : 2\r\n", "X-Other\t: 2\r\n" })
	void blankInAFieldNameIsMalformed(String line) {
		assertDecodedInPieces(HEAD + line + "\r\nbody", "malformed: blank in a field name");
	}

	@ParameterizedTest
	@ValueSource(strings = { "X Other: 2\r\n", "X-Other : 2\r\n" })
	void blankInTheNameOfATrailerIsMalformed(String line) {
		assertDecodedInPieces(HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n",
				"malformed: blank in a field name");
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "600", "0200", "+200" })
	void statusThatIsNotValidIsMalformed(String status) {
		assertDecodedInPieces(HEAD.replace("200", status) + "\r\nbody", "malformed: invalid status code: " + status);
	}

	@ParameterizedTest
	@ValueSource(ints = { 200, 204, 304, 404, 503, 599 })
	void statusThatIsValidIsKept(int status) {
		assertThat(decode(HEAD.replace("200", Integer.toString(status)) + "Content-Length: 0\r\n\r\n"),
				is(status + " "));
	}

}
