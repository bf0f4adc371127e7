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
 * Reads and answers HTTP exchanges.
 */
public final class Exchanges {

	/** The media type of problem documents. */
	public static final String PROBLEM_JSON = "application/problem+json";

	/** The media type of JSON documents. */
	public static final String JSON = "application/json";

	/** How long a caller that was refused for lack of room should wait. */
	private static final String RETRY_AFTER_SECONDS = "1";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String BEARER = "Bearer ";

	private Exchanges() {
	}

	/**
	 * Read the body of an exchange.
	 * @param exchange the exchange
	 * @param maxBytes the largest body
	 * @return the body, or why it is refused
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
	 * Return the bearer key of an exchange.
	 * @param exchange the exchange
	 * @return the key, if there is one
	 */
	public static Optional<String> bearerKey(HttpExchange exchange) {
		return header(exchange, "Authorization").filter((value) -> value.startsWith(BEARER))
			.map((value) -> value.substring(BEARER.length()).strip());
	}

	/**
	 * Return a request header.
	 * @param exchange the exchange
	 * @param name the header's name
	 * @return its first value, if there is one
	 */
	public static Optional<String> header(HttpExchange exchange, String name) {
		return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
	}

	/**
	 * Answer with a problem document.
	 * @param exchange the exchange
	 * @param failure the failure to tell
	 * @throws IOException if the connection breaks
	 */
	public static void sendProblem(HttpExchange exchange, Failure failure) throws IOException {
		if (failure.type() == ProblemType.OVERLOADED || failure.type() == ProblemType.TOO_MANY_REQUESTS
				|| failure.type() == ProblemType.NO_BACKEND) {
			exchange.getResponseHeaders().set("Retry-After", RETRY_AFTER_SECONDS);
		}
		send(exchange, failure.type().status(), PROBLEM_JSON, toJsonBytes(problem(failure)));
	}

	/**
	 * Return a failure as an answer that can be passed between nodes.
	 * @param failure the failure
	 * @return a problem document
	 */
	public static Answer problemAnswer(Failure failure) {
		return new Answer(failure.type().status(), PROBLEM_JSON, toJsonBytes(problem(failure)));
	}

	private static ObjectNode problem(Failure failure) {
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
	 * Answer with a JSON document.
	 * @param exchange the exchange
	 * @param status the HTTP status
	 * @param value a record or tree
	 * @throws IOException if the connection breaks
	 */
	public static void sendJson(HttpExchange exchange, int status, Object value) throws IOException {
		send(exchange, status, JSON, toJsonBytes(value));
	}

	/**
	 * Answer with some bytes.
	 * @param exchange the exchange
	 * @param status the HTTP status
	 * @param contentType the media type
	 * @param body the body
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
	 * Write a value as JSON.
	 * @param value a record or tree
	 * @return the document in UTF-8
	 */
	public static byte[] toJsonBytes(Object value) {
		try {
			return MAPPER.writeValueAsString(value).getBytes(StandardCharsets.UTF_8);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("can't write " + value.getClass(), ex);
		}
	}

	/**
	 * Parse a JSON object.
	 * @param body the document
	 * @return the object, or why it is refused
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
	 * Return the failure of a request that can't be read.
	 * @param detail what is wrong with it
	 * @return the failure
	 */
	public static Failure malformed(String detail) {
		return Failure.notRun(ProblemType.MALFORMED, Step.PARSE, "caller", detail);
	}

}
