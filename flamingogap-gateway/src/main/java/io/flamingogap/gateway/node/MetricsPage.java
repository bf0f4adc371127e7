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
 * Renders the metrics of a node in the Prometheus text format. The registry is created on
 * the first request, so that it doesn't slow down the start of the node.
 */
public final class MetricsPage {

	private static final double[] QUANTILES = { 0.5, 0.9, 0.99 };

	private static final double PERCENT = 100;

	private final RelayMetrics relayMetrics;

	private final NodeMetrics nodeMetrics;

	private final List<String> registeredMeters = new ArrayList<>();

	private @Nullable PrometheusMeterRegistry registry;

	/**
	 * Create a page.
	 * @param relayMetrics the counters and latencies of the request path
	 * @param nodeMetrics the other values of the node
	 */
	public MetricsPage(RelayMetrics relayMetrics, NodeMetrics nodeMetrics) {
		this.relayMetrics = relayMetrics;
		this.nodeMetrics = nodeMetrics;
	}

	/**
	 * Render the current values.
	 * @return the response, in the Prometheus text format
	 */
	public SimpleHttpServer.Response render() {
		PrometheusMeterRegistry prometheus = this.registry;
		if (prometheus == null) {
			prometheus = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
			registerGauges(prometheus);
			this.registry = prometheus;
		}
		registerNewMeters(prometheus);
		return new SimpleHttpServer.Response(200, "text/plain; version=0.0.4; charset=utf-8",
				prometheus.scrape().getBytes(StandardCharsets.UTF_8));
	}

	private void registerGauges(PrometheusMeterRegistry prometheus) {
		Gauge.builder("flamingogap.requests.open", this.relayMetrics, RelayMetrics::openRequests)
			.description("Requests that are open")
			.register(prometheus);
		Gauge.builder("flamingogap.config.version", this.nodeMetrics, NodeMetrics::configVersion)
			.description("Version of the configuration in force; -1 if none is")
			.register(prometheus);
		Gauge.builder("flamingogap.servers.known", this.nodeMetrics, NodeMetrics::serverCount)
			.description("Backend servers that are registered")
			.register(prometheus);
		Gauge.builder("flamingogap.zones.evacuated", this.nodeMetrics, NodeMetrics::evacuatedZoneCount)
			.description("Availability zones whose servers get nothing new")
			.register(prometheus);
		Gauge.builder("flamingogap.nodes.known", this.nodeMetrics, NodeMetrics::nodeCount)
			.description("Entry nodes that report")
			.register(prometheus);
		Gauge.builder("flamingogap.store.silent.millis", this.nodeMetrics, NodeMetrics::millisSinceStoreContact)
			.description("Time since the store last answered, in milliseconds")
			.register(prometheus);
		Gauge.builder("flamingogap.store.timeline", this.nodeMetrics, NodeMetrics::storeTimeline)
			.description("Timeline of the store, which rises when it returns from an earlier copy; 0 if not numbered")
			.register(prometheus);
		Gauge.builder("flamingogap.answers.bytes", this.nodeMetrics, NodeMetrics::answerBytes)
			.description("Memory for answers that are incomplete or that callers have not read, in bytes")
			.register(prometheus);
		Gauge.builder("flamingogap.caller.request.bytes", this.nodeMetrics, NodeMetrics::requestBytes)
			.description("Memory for requests that are arriving or open, in bytes")
			.register(prometheus);
		Gauge.builder("flamingogap.accepted.connections", this.nodeMetrics, NodeMetrics::acceptedConnections)
			.description("Connections that were accepted on all ports and are open")
			.register(prometheus);
		FunctionCounter
			.builder("flamingogap.backend.connections", this.nodeMetrics, NodeMetrics::backendConnectionAttempts)
			.description("Connections to backend servers that were opened")
			.register(prometheus);
	}

	private void registerNewMeters(PrometheusMeterRegistry prometheus) {
		for (String name : this.relayMetrics.counts().keySet()) {
			if (addIfNew("count." + name)) {
				// A counter's name consists of an outcome, a dot and a status.
				int dot = name.lastIndexOf('.');
				FunctionCounter
					.builder("flamingogap.requests", this.relayMetrics,
							(source) -> source.counts().getOrDefault(name, 0L))
					.tags(Tags.of("outcome", name.substring(0, dot), "status", name.substring(dot + 1)))
					.register(prometheus);
			}
		}
		for (Map.Entry<String, Histogram> latency : this.relayMetrics.latencies().entrySet()) {
			if (addIfNew("latency." + latency.getKey())) {
				registerLatency(prometheus, latency.getKey(), latency.getValue());
			}
		}
	}

	private static void registerLatency(PrometheusMeterRegistry prometheus, String name, Histogram latency) {
		for (double quantile : QUANTILES) {
			Gauge
				.builder("flamingogap.latency.millis", latency,
						(histogram) -> histogram.getValueAtPercentile(quantile * PERCENT))
				.tags(Tags.of("kind", name, "quantile", Double.toString(quantile)))
				.description("Latency since the start, in milliseconds")
				.register(prometheus);
		}
		FunctionCounter.builder("flamingogap.latency.count", latency, Histogram::getTotalCount)
			.tags(Tags.of("kind", name))
			.register(prometheus);
	}

	private boolean addIfNew(String name) {
		boolean added = !this.registeredMeters.contains(name);
		if (added) {
			this.registeredMeters.add(name);
		}
		return added;
	}

	/**
	 * Provides the metrics of a node that the request path doesn't count.
	 */
	public interface NodeMetrics {

		/**
		 * Return the memory for requests that are arriving or open.
		 * @return the number of bytes
		 */
		long requestBytes();

		/**
		 * Return the number of connections that were accepted.
		 * @return how many are open
		 */
		int acceptedConnections();

		/**
		 * Return the version of the configuration in force.
		 * @return the version; -1 if none is in force
		 */
		long configVersion();

		/**
		 * Return the number of registered backend servers.
		 * @return the number now
		 */
		int serverCount();

		/**
		 * Return the number of availability zones that are evacuated.
		 * @return the number now
		 */
		int evacuatedZoneCount();

		/**
		 * Return the number of known entry nodes, this one included. Silent nodes count
		 * until they are removed.
		 * @return the number now; at least 1
		 */
		int nodeCount();

		/**
		 * Return the time since registrations of backend servers were last read from the
		 * store, directly or through another node.
		 * @return the time in milliseconds; since the origin of the monotonic clock if
		 * none were read yet
		 */
		long millisSinceStoreContact();

		/**
		 * Return the newest timeline of the store that this node knows of.
		 * @return the number; 0 if the store doesn't number its timelines
		 */
		long storeTimeline();

		/**
		 * Return the memory for answers that servers have not completed or callers have
		 * not read.
		 * @return the number of bytes now; without those of short answers
		 */
		long answerBytes();

		/**
		 * Return the number of attempts to connect to backend servers, successful or not.
		 * @return the number since the node started
		 */
		long backendConnectionAttempts();

	}

}
