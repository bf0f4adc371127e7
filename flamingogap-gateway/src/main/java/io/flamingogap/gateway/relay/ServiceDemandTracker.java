package io.flamingogap.gateway.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.servers.PromptMetadata;

/**
 * Tracks the demand of this node's callers for each service: open requests, and the rates
 * of requests and prompt tokens as exponential moving averages. The tokens of a prefix
 * that requests share are left out.
 * <p>
 * Not thread-safe; all calls must be made on the event loop.
 */
public final class ServiceDemandTracker {

	/** Time constant of the moving averages; long enough to smooth bursts. */
	private static final double TIME_CONSTANT_MILLIS = 5_000;

	private static final double MILLIS_PER_MINUTE = 60_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Map<String, Demand> byService = new HashMap<>();

	void requestOpened(String service, PromptMetadata prompt, long nowMillis) {
		Demand demand = this.byService.computeIfAbsent(service, (name) -> new Demand());
		demand.decay(nowMillis);
		demand.openRequests++;
		demand.decayedRequests++;
		demand.decayedUnsharedTokens += Math.max(0, prompt.promptTokens() - prompt.sharedTokens());
	}

	void requestClosed(String service) {
		this.byService.get(service).openRequests--;
	}

	/**
	 * Return the current demand.
	 * @param nowMillis the time now, on the clock used to record requests
	 * @return one entry for each service that was requested since the node started
	 */
	public List<NodeReport.ServiceDemand> report(long nowMillis) {
		List<NodeReport.ServiceDemand> rows = new ArrayList<>();
		this.byService.forEach((service, demand) -> {
			demand.decay(nowMillis);
			rows.add(new NodeReport.ServiceDemand(service, demand.openRequests,
					Math.round(demand.decayedUnsharedTokens / TIME_CONSTANT_MILLIS * MILLIS_PER_SECOND),
					Math.round(demand.decayedRequests / TIME_CONSTANT_MILLIS * MILLIS_PER_MINUTE)));
		});
		return rows;
	}

	private static final class Demand {

		private int openRequests;

		private double decayedUnsharedTokens;

		private double decayedRequests;

		private long decayedAtMillis;

		private void decay(long nowMillis) {
			double factor = Math.exp(-(nowMillis - this.decayedAtMillis) / TIME_CONSTANT_MILLIS);
			this.decayedUnsharedTokens *= factor;
			this.decayedRequests *= factor;
			this.decayedAtMillis = nowMillis;
		}

	}

}
