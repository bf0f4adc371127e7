package io.flamingogap.core.serving;

import java.util.List;
import java.util.Objects;

/**
 * How requests of one host and path prefix are served.
 *
 * @param name the name of the route
 * @param host the host that callers name
 * @param prefix the path prefix; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest that a caller is kept waiting
 * @param latencyTargetMillis the time to the answer, or to the first event, that earns
 * full credit
 * @param priority the urgency; 0 is the most urgent
 * @param targets the services that share the requests; at least one
 * @param maxServers the most servers that one attempt may be executed on
 * @param isPublic whether callers need no key
 * @param resumable whether another server may go on with a broken stream
 * @param carriesPrompts whether the requests are for model engines
 */
public record RouteRule(String name, String host, String prefix, RequestKind kind, long timeoutMillis,
		long latencyTargetMillis, int priority, List<WeightedService> targets, int maxServers, boolean isPublic,
		boolean resumable, boolean carriesPrompts) {

	public RouteRule {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
			throw new IllegalArgumentException("prefix must begin and end with a slash but was '" + prefix + "'");
		}
		if (timeoutMillis < 1) {
			throw new IllegalArgumentException("timeoutMillis must be positive but was " + timeoutMillis);
		}
		targets = List.copyOf(targets);
		if (targets.isEmpty()) {
			throw new IllegalArgumentException("targets must not be empty");
		}
		maxServers = Math.max(1, maxServers);
	}

	/**
	 * Return whether a request may be executed more than once.
	 * @return {@code true} for idempotent requests and streams that may be resumed
	 */
	public boolean isRepeatable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAM && this.resumable);
	}

	/**
	 * Choose the service for a request by the weights of the targets.
	 * @param draw a number from 0 (inclusive) to 1 (exclusive), evenly distributed
	 * @return the name of the service
	 */
	public String chooseService(double draw) {
		double total = this.targets.stream().mapToDouble(WeightedService::weight).sum();
		double left = draw * total;
		for (WeightedService target : this.targets) {
			left -= target.weight();
			if (left < 0) {
				return target.service();
			}
		}
		return this.targets.get(0).service();
	}

}
