package io.flamingogap.core.quota;

import java.util.HashMap;
import java.util.Map;

import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.TokenQuota;

/**
 * Admits requests within this node's shares of the accounts' quotas. The shares of all
 * nodes add up to one: a part is split evenly, the rest by the demand that nodes report.
 * A node that hears nothing keeps the last reports, so the sum stays bounded.
 * <p>
 * Not safe for use by several threads.
 */
public final class QuotaGate {

	/** The part of each quota that is split evenly, for nodes whose demand just began. */
	private static final double EVEN_PART = 0.15;

	private final Map<String, QuotaBucket> buckets = new HashMap<>();

	private final Map<String, DemandMeter> demands = new HashMap<>();

	/** What this node reported last but one: the newest that all other nodes have heard. */
	private Map<String, Long> heardByAll = Map.of();

	private Map<String, Long> reported = Map.of();

	private final QuotaTolerance tolerance;

	private final boolean startsFull;

	/**
	 * Create a gate.
	 * @param tolerance by how much a quota may be exceeded, over all nodes
	 * @param startsFull whether the buckets start with their burst; a node that restarts
	 * may have spent it before
	 */
	public QuotaGate(QuotaTolerance tolerance, boolean startsFull) {
		this.tolerance = tolerance;
		this.startsFull = startsFull;
	}

	/**
	 * Admit a request or refuse it.
	 * @param account the account
	 * @param cost the units that the request uses
	 * @param fleet what other nodes report
	 * @param nowMillis the present time
	 * @return the verdict
	 */
	public QuotaVerdict admit(ClientAccount account, long cost, FleetDemand fleet, long nowMillis) {
		TokenQuota quota = account.quota();
		if (!quota.isLimited()) {
			return QuotaVerdict.UNLIMITED;
		}
		DemandMeter demand = this.demands.computeIfAbsent(account.name(), (name) -> new DemandMeter());
		demand.add(cost, nowMillis);
		double share = share(account.name(), this.heardByAll.getOrDefault(account.name(), 0L), fleet);
		double rate = quota.ratePerSecond() * share;
		double capacity = quota.burst() * share + this.tolerance.units(quota) / fleet.nodes();
		QuotaBucket bucket = this.buckets.computeIfAbsent(account.name(),
				(name) -> new QuotaBucket(this.startsFull ? capacity : rate, nowMillis));
		bucket.refill(rate, capacity, nowMillis);
		double level = bucket.level();
		return new QuotaVerdict(bucket.trySpend(cost) ? 0 : bucket.waitMillis(rate), share, rate, level);
	}

	/**
	 * Give back what an admitted request did not use.
	 * @param account the account
	 * @param cost the units
	 */
	public void refund(ClientAccount account, long cost) {
		QuotaBucket bucket = this.buckets.get(account.name());
		if (bucket != null) {
			bucket.refund(cost);
		}
	}

	private static double share(String account, double own, FleetDemand fleet) {
		double even = 1.0 / fleet.nodes();
		double others = fleet.othersPerSecond(account);
		double total = own + others;
		return (total > 0) ? EVEN_PART * even + (1 - EVEN_PART) * own / total : even;
	}

	/**
	 * Make the next report of this node's demand. Its own shares follow the report before,
	 * so that nodes don't count a jump twice that others have not heard of.
	 * @param nowMillis the present time
	 * @return units a second by account
	 */
	public Map<String, Long> reportDemand(long nowMillis) {
		Map<String, Long> report = new HashMap<>();
		this.demands.forEach((account, meter) -> {
			long perSecond = Math.round(meter.perSecond(nowMillis));
			if (perSecond > 0) {
				report.put(account, perSecond);
			}
		});
		this.heardByAll = this.reported;
		this.reported = report;
		return report;
	}

}
