package io.flamingogap.gateway.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

import io.flamingogap.gateway.http.SimpleHttpServer;
import io.flamingogap.gateway.relay.RelayMetrics;

/**
 * The metrics of a node. The registry is made when the page is first asked for, so that
 * it costs nothing at the start.
 */
public final class MetricsPage {

	private static final double[] QUANTILES = { 0.5, 0.9, 0.99 };

	private static final double PERCENT = 100;

	private final RelayMetrics metrics;

	private final NodeFigures figures;

	private final List<String> registered = new ArrayList<>();

	private @Nullable PrometheusMeterRegistry registry;

	/**
	 * Create a page.
	 * @param metrics the counts of the request path
	 * @param figures what else the node tells
	 */
	public MetricsPage(RelayMetrics metrics, NodeFigures figures) {
		this.metrics = metrics;
		this.figures = figures;
	}

	/**
	 * Write the page.
	 * @return the metrics as text
	 */
	public SimpleHttpServer.Response write() {
		PrometheusMeterRegistry held = this.registry;
		if (held == null) {
			held = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
			registerGauges(held);
			this.registry = held;
		}
		registerNew(held);
		return new SimpleHttpServer.Response(200, "text/plain; version=0.0.4; charset=utf-8",
				held.scrape().getBytes(StandardCharsets.UTF_8));
	}

	private void registerGauges(PrometheusMeterRegistry held) {
		Gauge.builder("flamingogap.requests.open", this.metrics, RelayMetrics::openRequests)
			.description("Requests that are open")
			.register(held);
		Gauge.builder("flamingogap.config.version", this.figures, NodeFigures::configVersion)
			.description("Version of the configuration in force; -1 if none is")
			.register(held);
		Gauge.builder("flamingogap.servers.known", this.figures, NodeFigures::servers)
			.description("Backend servers that are registered")
			.register(held);
		Gauge.builder("flamingogap.nodes.known", this.figures, NodeFigures::nodes)
			.description("Entry nodes that report")
			.register(held);
		Gauge.builder("flamingogap.store.silent.millis", this.figures, NodeFigures::storeSilentMillis)
			.description("Time since the store last answered, in milliseconds")
			.register(held);
		FunctionCounter.builder("flamingogap.backend.connections", this.figures, NodeFigures::connectionsOpened)
			.description("Connections to backend servers that were opened")
			.register(held);
	}

	private void registerNew(PrometheusMeterRegistry held) {
		for (String name : this.metrics.counts().keySet()) {
			if (isNew("count." + name)) {
				int dot = name.lastIndexOf('.');
				FunctionCounter
					.builder("flamingogap.requests", this.metrics, (counted) -> counted.counts().getOrDefault(name, 0L))
					.tags(Tags.of("outcome", name.substring(0, dot), "status", name.substring(dot + 1)))
					.register(held);
			}
		}
		for (Map.Entry<String, Histogram> latency : this.metrics.latencies().entrySet()) {
			if (isNew("latency." + latency.getKey())) {
				registerLatency(held, latency.getKey(), latency.getValue());
			}
		}
	}

	private static void registerLatency(PrometheusMeterRegistry held, String name, Histogram latency) {
		for (double quantile : QUANTILES) {
			Gauge
				.builder("flamingogap.latency.millis", latency,
						(recorded) -> recorded.getValueAtPercentile(quantile * PERCENT))
				.tags(Tags.of("kind", name, "quantile", Double.toString(quantile)))
				.description("Latency since the start, in milliseconds")
				.register(held);
		}
		FunctionCounter.builder("flamingogap.latency.count", latency, Histogram::getTotalCount)
			.tags(Tags.of("kind", name))
			.register(held);
	}

	private boolean isNew(String name) {
		boolean added = !this.registered.contains(name);
		if (added) {
			this.registered.add(name);
		}
		return added;
	}

	/**
	 * What a node tells besides the counts of the request path.
	 */
	public interface NodeFigures {

		/**
		 * Return the version of the configuration in force.
		 * @return the version, -1 if none is
		 */
		long configVersion();

		/**
		 * Return the backend servers that are registered.
		 * @return the number
		 */
		int servers();

		/**
		 * Return the entry nodes that report, this one included.
		 * @return the number
		 */
		int nodes();

		/**
		 * Return the time since the store last answered.
		 * @return the time in milliseconds
		 */
		long storeSilentMillis();

		/**
		 * Return the connections to backend servers that were opened.
		 * @return the number since the start
		 */
		long connectionsOpened();

	}

}
