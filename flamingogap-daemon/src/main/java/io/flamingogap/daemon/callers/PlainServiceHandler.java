package io.flamingogap.daemon.callers;

import java.io.IOException;
import java.time.Clock;
import java.util.Optional;
import java.util.UUID;

import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.Route;
import io.flamingogap.core.manifest.Service;
import io.flamingogap.core.manifest.ServiceKind;
import io.flamingogap.core.request.Answer;
import io.flamingogap.core.request.KeyedRequest;
import io.flamingogap.core.request.RequestKey;
import io.flamingogap.daemon.backends.BackendCall;
import io.flamingogap.daemon.backends.PlainServiceClient;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.requests.KeyedRequests;
import io.flamingogap.daemon.requests.Outcome;
import io.flamingogap.daemon.requests.ServicePath;
import io.flamingogap.daemon.rollouts.Rollouts;
import io.flamingogap.daemon.rollouts.VersionChoice;

/**
 * Handles requests to plain services under {@code /services/NAME/}.
 */
public final class PlainServiceHandler {

	private static final String KEY_HEADER = "Idempotency-Key";

	private static final int TEMPORARY_REDIRECT = 307;

	private static final String OCTET_STREAM = "application/octet-stream";

	private final Configuration configuration;

	private final PlainServiceClient plainServiceClient;

	private final KeyedRequests keyedRequests;

	private final Rollouts rollouts;

	private final Clock clock;

	/**
	 * Create a handler.
	 * @param configuration the configuration in force
	 * @param plainServiceClient the client for repeatable calls
	 * @param keyedRequests executes unrepeatable calls
	 * @param rollouts selects the version of the service
	 * @param clock provides the current time
	 */
	public PlainServiceHandler(Configuration configuration, PlainServiceClient plainServiceClient,
			KeyedRequests keyedRequests, Rollouts rollouts, Clock clock) {
		this.configuration = configuration;
		this.plainServiceClient = plainServiceClient;
		this.keyedRequests = keyedRequests;
		this.rollouts = rollouts;
		this.clock = clock;
	}

	void handle(HttpExchange exchange, CallerRequest request) throws IOException {
		String path = exchange.getRequestURI().getRawPath();
		Optional<Service> service = this.configuration.manifest()
			.findService(ServicePath.serviceName(path))
			.filter((found) -> found.kind() == ServiceKind.PLAIN);
		Optional<Route> route = service
			.flatMap((found) -> found.findRoute(exchange.getRequestMethod(), ServicePath.pathInService(path)));
		if (service.isEmpty() || route.isEmpty()) {
			Exchanges.sendProblem(exchange, Failure.notRun(ProblemType.NOT_FOUND, Step.ROUTE, "caller",
					"no route serves " + exchange.getRequestMethod() + " " + path));
		}
		else if (route.get().repeatable()) {
			answerRepeatable(exchange, request, service.get(), route.get());
		}
		else {
			answerUnrepeatable(exchange, request);
		}
	}

	private void answerRepeatable(HttpExchange exchange, CallerRequest request, Service service, Route route)
			throws IOException {
		BackendCall call = new BackendCall(exchange.getRequestMethod(),
				ServicePath.pathInService(pathWithQuery(exchange)), contentType(exchange), request.body(),
				request.account().name(), null, Math.max(0, request.deadlineMillis() - this.clock.millis()));
		VersionChoice choice = this.rollouts.chooseVersion(service, UUID.randomUUID().toString(), route.toString(),
				true);
		Either<Failure, Answer> answer = this.plainServiceClient.call(choice, call, request.deadlineMillis());
		if (answer.isLeft()) {
			Exchanges.sendProblem(exchange, answer.getLeft());
			return;
		}
		send(exchange, answer.get());
	}

	private void answerUnrepeatable(HttpExchange exchange, CallerRequest request) throws IOException {
		Either<Failure, RequestKey> key = Exchanges.header(exchange, KEY_HEADER)
			.map(RequestKey::parse)
			.orElseGet(() -> Either.left(Failure.notRun(ProblemType.KEY_REQUIRED, Step.PARSE, "caller",
					"this call may not be repeated and needs an " + KEY_HEADER + "; GET /v1/entry gives prefixes")));
		if (key.isLeft()) {
			Exchanges.sendProblem(exchange, key.getLeft());
			return;
		}
		KeyedRequest keyedRequest = new KeyedRequest(key.get(), request.account().name(), exchange.getRequestMethod(),
				pathWithQuery(exchange), contentType(exchange), request.body(), request.deadlineMillis());
		sendOutcome(exchange, this.keyedRequests.answer(keyedRequest));
	}

	private static void sendOutcome(HttpExchange exchange, Outcome outcome) throws IOException {
		if (outcome instanceof Outcome.Answered answered) {
			send(exchange, answered.answer());
		}
		else if (outcome instanceof Outcome.Failed failed) {
			Exchanges.sendProblem(exchange, failed.failure());
		}
		else if (outcome instanceof Outcome.Moved moved) {
			exchange.getResponseHeaders().set("Location", "http://" + moved.callerAddress() + exchange.getRequestURI());
			exchange.sendResponseHeaders(TEMPORARY_REDIRECT, -1);
		}
		else {
			throw new IllegalStateException("unreachable owners are reported as unknown outcomes");
		}
	}

	private static void send(HttpExchange exchange, Answer answer) throws IOException {
		Exchanges.send(exchange, answer.status(), answer.contentType(), answer.body());
	}

	private static String contentType(HttpExchange exchange) {
		return Exchanges.header(exchange, "Content-Type").orElse(OCTET_STREAM);
	}

	private static String pathWithQuery(HttpExchange exchange) {
		String query = exchange.getRequestURI().getRawQuery();
		return exchange.getRequestURI().getRawPath() + ((query != null) ? "?" + query : "");
	}

}
