package io.flamingogap.testkit.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;

/**
 * Reads and writes JSON documents and the bodies of HTTP exchanges.
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private Json() {
	}

	/**
	 * Write a value as JSON.
	 * @param value a record, map or list
	 * @return the JSON document
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Parse a JSON document.
	 * @param text the JSON document
	 * @return the root of the parsed document
	 */
	public static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Read the request body of an exchange.
	 * @param exchange the exchange
	 * @return the body, decoded as UTF-8
	 * @throws IOException if the connection breaks
	 */
	public static String body(HttpExchange exchange) throws IOException {
		return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
	}

	/**
	 * Send a JSON response.
	 * @param exchange the exchange
	 * @param status the HTTP status
	 * @param value the response body: a record, map or list
	 * @throws IOException if the connection breaks
	 */
	public static void answer(HttpExchange exchange, int status, Object value) throws IOException {
		byte[] bytes = write(value).getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

	/**
	 * Return a numeric query parameter of an exchange.
	 * @param exchange the exchange
	 * @param name the name of the parameter
	 * @param fallback the value to return if the parameter is absent
	 * @return the value of the parameter or the fallback
	 */
	public static long query(HttpExchange exchange, String name, long fallback) {
		String query = exchange.getRequestURI().getRawQuery();
		if (query == null) {
			return fallback;
		}
		for (String pair : query.split("&")) {
			if (pair.startsWith(name + "=")) {
				String value = pair.substring(name.length() + 1);
				return Long.parseLong(URLDecoder.decode(value, StandardCharsets.UTF_8));
			}
		}
		return fallback;
	}

}
