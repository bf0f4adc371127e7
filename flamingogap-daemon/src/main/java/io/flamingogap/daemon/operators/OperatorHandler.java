package io.flamingogap.daemon.operators;

import java.io.IOException;
import java.util.Set;

import com.sun.net.httpserver.HttpExchange;
import io.vavr.control.Either;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.http.HttpListener;
import io.flamingogap.daemon.platformlog.Configuration;
import io.flamingogap.daemon.settings.Settings;

/**
 * Authenticates operators and dispatches their requests under {@code /operator/v1/}.
 */
public final class OperatorHandler implements HttpListener.Handler {

	/** Prefix of the paths of all operator requests. */
	public static final String PREFIX = "/operator/v1/";

	private final OperatorAuthenticator authenticator;

	private final OperatorApi api;

	/**
	 * Create a handler.
	 * @param configuration the configuration in force, which names the operators
	 * @param bootstrapOperator the operator who is accepted while the manifest in force
	 * names none, so as to publish the first manifest
	 * @param api serves the requests of authenticated operators
	 */
	public OperatorHandler(Configuration configuration, Settings.Operators bootstrapOperator, OperatorApi api) {
		this.authenticator = new OperatorAuthenticator(configuration::manifest, bootstrapOperator);
		this.api = api;
	}

	@Override
	public void handle(HttpExchange exchange) throws IOException {
		Either<Failure, String> operator = this.authenticator.authenticate(Exchanges.bearerKey(exchange));
		if (operator.isLeft()) {
			Exchanges.sendProblem(exchange, operator.getLeft());
			return;
		}
		String resource = exchange.getRequestURI().getPath().substring(PREFIX.length());
		dispatch(exchange, operator.get(), resource);
	}

	private void dispatch(HttpExchange exchange, String operator, String resource) throws IOException {
		String method = exchange.getRequestMethod();
		switch (method + " " + resource.split("/", 2)[0]) {
			case "GET status" -> Exchanges.sendJson(exchange, 200, this.api.status());
			case "GET nodes" -> Exchanges.sendJson(exchange, 200, this.api.nodes());
			case "GET manifest" -> Exchanges.sendJson(exchange, 200, this.api.manifest());
			case "GET audit" -> this.api.sendAuditTrail(exchange);
			case "GET requests" -> this.api.sendRequestState(exchange, resource);
			case "GET rollouts" -> Exchanges.sendJson(exchange, 200, this.api.rollouts());
			case "POST rollouts" -> this.api.takeBack(exchange, operator, resource);
			case "POST manifests" -> this.api.publish(exchange, operator);
			case "POST drain" -> this.api.drain(exchange, operator);
			default -> Exchanges.sendProblem(exchange, unsupported(method, resource));
		}
	}

	private static Failure unsupported(String method, String resource) {
		Set<String> knownResources = Set.of("status", "nodes", "manifest", "audit", "requests", "manifests", "rollouts",
				"drain");
		ProblemType type = knownResources.contains(resource.split("/", 2)[0]) ? ProblemType.METHOD_NOT_ALLOWED
				: ProblemType.NOT_FOUND;
		return Failure.notRun(type, Step.PARSE, "operator", "no " + method + " of " + PREFIX + resource);
	}

}
