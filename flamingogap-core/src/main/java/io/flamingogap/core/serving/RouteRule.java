package io.flamingogap.core.serving;

import java.util.List;
import java.util.Objects;

/**
 * Routing rule for the requests of one host and path prefix.
 *
 * @param name the unique name
 * @param host the host that requests name, in lower case and without a port
 * @param prefix the path prefix; begins and ends with a slash
 * @param kind whether a request may be executed again
 * @param timeoutMillis the time within which a caller must have an answer
 * @param latencyTargetMillis the target for the time to the response, or to the first
 * event of a stream, after which a response no longer counts in full; the silence timeout
 * and the latency threshold of rollouts are derived from it
 * @param priority the priority of the requests; 0 is the most urgent
 * @param targets the services that share the requests by weight; at least one
 * @param maxExecutions the maximum number of servers that may execute one attempt; a
 * dispatch that was certainly not executed doesn't count, and values below 1 count as 1
 * @param isPublic whether callers need no key
 * @param resumable whether another server may continue a broken stream
 * @param carriesPrompts whether the requests carry prompts for model engines
 * @param allowedRegions the regions that may process the requests
 */
public record RouteRule(String name, String host, String prefix, RequestKind kind, long timeoutMillis,
		long latencyTargetMillis, int priority, List<WeightedService> targets, int maxExecutions, boolean isPublic,
		boolean resumable, boolean carriesPrompts, AllowedRegions allowedRegions) {

	public RouteRule {
		Objects.requireNonNull(allowedRegions, "allowedRegions must not be null");
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
		maxExecutions = Math.max(1, maxExecutions);
	}

	/**
	 * Create a rule whose requests all regions may process.
	 * @param name the unique name
	 * @param host the host that requests name, in lower case and without a port
	 * @param prefix the path prefix; begins and ends with a slash
	 * @param kind whether a request may be executed again
	 * @param timeoutMillis the time within which a caller must have an answer
	 * @param latencyTargetMillis the target for the time to the response
	 * @param priority the priority of the requests; 0 is the most urgent
	 * @param targets the services that share the requests by weight; at least one
	 * @param maxExecutions the maximum number of servers that may execute one attempt
	 * @param isPublic whether callers need no key
	 * @param resumable whether another server may continue a broken stream
	 * @param carriesPrompts whether the requests carry prompts for model engines
	 */
	public RouteRule(String name, String host, String prefix, RequestKind kind, long timeoutMillis,
			long latencyTargetMillis, int priority, List<WeightedService> targets, int maxExecutions, boolean isPublic,
			boolean resumable, boolean carriesPrompts) {
		this(name, host, prefix, kind, timeoutMillis, latencyTargetMillis, priority, targets, maxExecutions, isPublic,
				resumable, carriesPrompts, AllowedRegions.ALL);
	}

	/**
	 * Return whether a request may be executed more than once.
	 * @return {@code true} for idempotent requests and for resumable streams
	 */
	public boolean isRepeatable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAM && this.resumable);
	}

	/**
	 * Choose the service for a request in proportion to the weights of the targets.
	 * @param random a uniformly distributed random number from 0 (inclusive) to 1
	 * (exclusive)
	 * @return the name of the service; that of the first target if all weights are 0
	 */
	public String chooseService(double random) {
		double total = this.targets.stream().mapToDouble(WeightedService::weight).sum();
		double remaining = random * total;
		for (WeightedService target : this.targets) {
			remaining -= target.weight();
			if (remaining < 0) {
				return target.service();
			}
		}
		return this.targets.get(0).service();
	}

}
