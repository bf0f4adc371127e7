package io.flamingogap.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.request.Answer;

/**
 * Utilities for reading requests and writing responses of an {@link HttpExchange}.
 */
public final class Exchanges {

	/** The media type of problem documents. */
	public static final String PROBLEM_JSON = "application/problem+json";

	/** The media type of JSON documents. */
	public static final String JSON = "application/json";

	/** The value of Retry-After for requests refused for lack of capacity. */
	private static final String RETRY_AFTER_SECONDS = "1";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String BEARER = "Bearer ";

	private Exchanges() {
	}

	/**
	 * Read the request body of an exchange.
	 * @param exchange the exchange
	 * @param maxBytes the maximum size of the body in bytes
	 * @return the body, or the failure to send if the body is larger
	 * @throws IOException if the connection breaks
	 */
	public static Either<Failure, byte[]> readBody(HttpExchange exchange, int maxBytes) throws IOException {
		InputStream in = exchange.getRequestBody();
		byte[] body = in.readNBytes(maxBytes + 1);
		if (body.length > maxBytes) {
			return Either.left(Failure.notRun(ProblemType.TOO_LARGE, Step.PARSE, "caller",
					"the body is larger than " + maxBytes + " bytes"));
		}
		return Either.right(body);
	}

	/**
	 * Return the bearer key in the Authorization header of a request.
	 * @param exchange the exchange
	 * @return the key, or empty if the request has none
	 */
	public static Optional<String> bearerKey(HttpExchange exchange) {
		return header(exchange, "Authorization").filter((value) -> value.startsWith(BEARER))
			.map((value) -> value.substring(BEARER.length()).strip());
	}

	/**
	 * Return the value of a request header.
	 * @param exchange the exchange
	 * @param name the header name, in any case
	 * @return the first value, or empty if the request has no such header
	 */
	public static Optional<String> header(HttpExchange exchange, String name) {
		return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
	}

	/**
	 * Send a failure as a problem document with the status of its problem type.
	 * @param exchange the exchange
	 * @param failure the failure that is described
	 * @throws IOException if the connection breaks
	 */
	public static void sendProblem(HttpExchange exchange, Failure failure) throws IOException {
		if (failure.type() == ProblemType.OVERLOADED || failure.type() == ProblemType.TOO_MANY_REQUESTS
				|| failure.type() == ProblemType.NO_BACKEND) {
			exchange.getResponseHeaders().set("Retry-After", RETRY_AFTER_SECONDS);
		}
		send(exchange, failure.type().status(), PROBLEM_JSON, toJsonBytes(problemDocument(failure)));
	}

	/**
	 * Convert a failure to an answer that nodes can forward to each other.
	 * @param failure the failure
	 * @return an answer whose body is a problem document
	 */
	public static Answer problemAnswer(Failure failure) {
		return new Answer(failure.type().status(), PROBLEM_JSON, toJsonBytes(problemDocument(failure)));
	}

	private static ObjectNode problemDocument(Failure failure) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("type", failure.type().uri());
		node.put("title", failure.type().title());
		node.put("status", failure.type().status());
		node.put("detail", failure.detail());
		node.put("step", failure.step().name().toLowerCase(Locale.ROOT));
		node.put("peer", failure.peer());
		node.put("execution", failure.execution().wireName());
		return node;
	}

	/**
	 * Send a JSON document.
	 * @param exchange the exchange
	 * @param status the HTTP status
	 * @param value a record or a JSON tree
	 * @throws IOException if the connection breaks
	 */
	public static void sendJson(HttpExchange exchange, int status, Object value) throws IOException {
		send(exchange, status, JSON, toJsonBytes(value));
	}

	/**
	 * Send a response.
	 * @param exchange the exchange
	 * @param status the HTTP status
	 * @param contentType the media type of the body
	 * @param body the body; may be empty
	 * @throws IOException if the connection breaks
	 */
	public static void send(HttpExchange exchange, int status, String contentType, byte[] body) throws IOException {
		exchange.getResponseHeaders().set("Content-Type", contentType);
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		if (body.length > 0) {
			exchange.getResponseBody().write(body);
		}
	}

	/**
	 * Serialize a value as JSON.
	 * @param value a record or a JSON tree
	 * @return the document, encoded in UTF-8
	 */
	public static byte[] toJsonBytes(Object value) {
		try {
			return MAPPER.writeValueAsString(value).getBytes(StandardCharsets.UTF_8);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("can't serialize " + value.getClass(), ex);
		}
	}

	/**
	 * Parse a request body that must be a JSON object.
	 * @param body the document, encoded in UTF-8
	 * @return the object, or the failure to send if the body isn't a JSON object
	 */
	public static Either<Failure, ObjectNode> parseObject(byte[] body) {
		try {
			if (MAPPER.readTree(body) instanceof ObjectNode node) {
				return Either.right(node);
			}
			return Either.left(malformed("the body isn't a JSON object"));
		}
		catch (IOException ex) {
			return Either.left(malformed("the body isn't JSON"));
		}
	}

	/**
	 * Create the failure for a request that is malformed and was not executed.
	 * @param detail what is wrong with the request
	 * @return a failure of type {@link ProblemType#MALFORMED}
	 */
	public static Failure malformed(String detail) {
		return Failure.notRun(ProblemType.MALFORMED, Step.PARSE, "caller", detail);
	}

}
