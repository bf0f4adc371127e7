package io.flamingogap.gateway.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.flamingogap.core.fleet.NodeReport;
import io.flamingogap.core.servers.PromptMetadata;
import io.flamingogap.core.servers.PromptPart;

/**
 * What callers of this node ask of each service, as moving averages. Used on the event
 * loop only.
 */
public final class ServiceDemandTracker {

	/** Time constant of the averages: long enough to smooth clumps of requests. */
	private static final double AVERAGE_MILLIS = 5_000;

	private static final double MILLIS_PER_MINUTE = 60_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Map<String, Demand> byService = new HashMap<>();

	void opened(String service, PromptMetadata prompt, long nowMillis) {
		Demand demand = this.byService.computeIfAbsent(service, (name) -> new Demand());
		demand.decay(nowMillis);
		demand.open++;
		demand.requests++;
		long shared = prompt.sharedPrefix().stream().mapToLong(PromptPart::tokens).sum();
		demand.tokens += Math.max(0, prompt.promptTokens() - shared);
	}

	void closed(String service) {
		this.byService.get(service).open--;
	}

	/**
	 * Return the demand.
	 * @param nowMillis the present time
	 * @return a row for each service that was asked for
	 */
	public List<NodeReport.ServiceDemand> report(long nowMillis) {
		List<NodeReport.ServiceDemand> rows = new ArrayList<>();
		this.byService.forEach((service, demand) -> {
			demand.decay(nowMillis);
			rows.add(new NodeReport.ServiceDemand(service, demand.open,
					Math.round(demand.tokens / AVERAGE_MILLIS * MILLIS_PER_SECOND),
					Math.round(demand.requests / AVERAGE_MILLIS * MILLIS_PER_MINUTE)));
		});
		return rows;
	}

	private static final class Demand {

		private int open;

		private double tokens;

		private double requests;

		private long decayedAtMillis;

		private void decay(long nowMillis) {
			double kept = Math.exp(-(nowMillis - this.decayedAtMillis) / AVERAGE_MILLIS);
			this.tokens *= kept;
			this.requests *= kept;
			this.decayedAtMillis = nowMillis;
		}

	}

}
