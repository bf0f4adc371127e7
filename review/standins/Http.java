package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reading of HTTP/1.1 messages from a socket. */
final class Http {

	private Http() {
	}

	/** The start line and the headers of a message, with names in lower case. */
	record Head(String startLine, Map<String, String> headers) {

		String method() {
			return this.startLine.split(" ")[0];
		}

		String target() {
			return this.startLine.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.startLine.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

	}

	/** Read a head. Returns null if the peer closed the connection before the first byte. */
	static Head readHead(InputStream in) throws IOException {
		String start = readLine(in);
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		return new Head(start, headers);
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("connection closed inside a line");
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Read a body that is framed by a length or by chunks. */
	static byte[] readBody(Head head, InputStream in) throws IOException {
		if (head.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			while (true) {
				String size = readLine(in);
				if (size == null) {
					throw new EOFException("connection closed inside a chunked body");
				}
				int length = Integer.parseInt(size.split(";")[0].strip(), 16);
				body.writeBytes(readExactly(in, length));
				readLine(in);
				if (length == 0) {
					return body.toByteArray();
				}
			}
		}
		String length = head.header("content-length");
		return readExactly(in, length.isEmpty() ? 0 : Integer.parseInt(length));
	}

	static byte[] readExactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("connection closed after " + bytes.length + " of " + length + " bytes");
		}
		return bytes;
	}

}
