package io.flamingogap.daemon.admin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import com.sun.net.httpserver.HttpExchange;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import io.flamingogap.daemon.http.Exchanges;
import io.flamingogap.daemon.http.HttpListener;

/**
 * Serves {@code /healthz}, {@code /readyz} and {@code /metrics} on the admin port.
 */
public final class AdminHandler implements HttpListener.Handler {

	private static final String PLAIN_TEXT = "text/plain; charset=utf-8";

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int NOT_FOUND = 404;

	private final PrometheusMeterRegistry registry;

	private final BooleanSupplier ready;

	/**
	 * Create a handler.
	 * @param registry the metrics to expose in the Prometheus text format
	 * @param ready returns whether the node accepts new requests
	 */
	public AdminHandler(PrometheusMeterRegistry registry, BooleanSupplier ready) {
		this.registry = registry;
		this.ready = ready;
	}

	@Override
	public void handle(HttpExchange exchange) throws IOException {
		switch (exchange.getRequestURI().getPath()) {
			case "/healthz" -> send(exchange, 200, "ok\n");
			case "/readyz" -> sendReadiness(exchange);
			case "/metrics" -> send(exchange, 200, this.registry.scrape());
			default -> send(exchange, NOT_FOUND, "not found\n");
		}
	}

	private void sendReadiness(HttpExchange exchange) throws IOException {
		boolean isReady = this.ready.getAsBoolean();
		send(exchange, isReady ? 200 : SERVICE_UNAVAILABLE, isReady ? "ready\n" : "not ready\n");
	}

	private static void send(HttpExchange exchange, int status, String text) throws IOException {
		Exchanges.send(exchange, status, PLAIN_TEXT, text.getBytes(StandardCharsets.UTF_8));
	}

}
