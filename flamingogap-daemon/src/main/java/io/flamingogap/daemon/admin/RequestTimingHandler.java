package io.flamingogap.daemon.admin;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

import io.flamingogap.daemon.http.HttpListener;

/**
 * Delegates to another handler and records the duration of each exchange by the kind of
 * its path and its status.
 */
public final class RequestTimingHandler implements HttpListener.Handler {

	private final MeterRegistry registry;

	private final HttpListener.Handler delegate;

	/**
	 * Create a handler.
	 * @param registry the registry of the timers
	 * @param delegate answers the exchanges
	 */
	public RequestTimingHandler(MeterRegistry registry, HttpListener.Handler delegate) {
		this.registry = registry;
		this.delegate = delegate;
	}

	@Override
	public void handle(HttpExchange exchange) throws IOException {
		long startNanos = System.nanoTime();
		try {
			this.delegate.handle(exchange);
		}
		finally {
			Timer.builder("flamingogap.requests")
				.description("Time to answer callers and operators")
				.tag("kind", kind(exchange.getRequestURI().getPath()))
				.tag("status", String.valueOf(exchange.getResponseCode()))
				.register(this.registry)
				.record(System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
		}
	}

	private static String kind(String path) {
		String[] parts = path.split("/", 4);
		if (parts.length < 3) {
			return "other";
		}
		return switch (parts[1]) {
			case "v1" -> switch (parts[2]) {
				case "entry", "requests", "completions", "chat" -> parts[2];
				default -> "other";
			};
			case "services", "operator" -> parts[1];
			default -> "other";
		};
	}

}
