package io.flamingogap.core.quota;

import java.util.HashMap;
import java.util.Map;

import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.ClientAccount;

/**
 * Admits requests within this node's shares of the accounts' quotas. The shares of all
 * nodes add up to one: a part is split evenly, the rest by the demand that nodes report.
 * A node that hears nothing keeps the last reports, so the sum stays bounded.
 * <p>
 * Not safe for use by several threads.
 */
public final class QuotaLimiter {

	/** The part of each quota that is split evenly, for nodes whose demand just began. */
	private static final double EVEN_PART = 0.15;

	/** The part of what is left that is lent at once. */
	private static final double LENT_PART = 0.5;

	private final Map<String, QuotaBucket> buckets = new HashMap<>();

	private final Map<String, DemandMeter> demands = new HashMap<>();

	/**
	 * What this node reported last but one: the newest that all other nodes have heard.
	 */
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
	public QuotaLimiter(QuotaTolerance tolerance, boolean startsFull) {
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
	public QuotaDecision admit(ClientAccount account, long cost, FleetDemand fleet, long nowMillis) {
		AccountQuota quota = account.quota();
		if (!quota.isLimited()) {
			return QuotaDecision.UNLIMITED;
		}
		this.demands.computeIfAbsent(account.name(), (name) -> new DemandMeter()).add(cost, nowMillis);
		return retryAdmission(account, cost, fleet, nowMillis);
	}

	/**
	 * Admit a request or refuse it that was refused before and is counted as demand.
	 * @param account the account
	 * @param cost the units that the request uses
	 * @param fleet what other nodes report
	 * @param nowMillis the present time
	 * @return the verdict
	 */
	public QuotaDecision retryAdmission(ClientAccount account, long cost, FleetDemand fleet, long nowMillis) {
		AccountQuota quota = account.quota();
		double share = share(account.name(), this.heardByAll.getOrDefault(account.name(), 0L), fleet);
		double rate = (quota.ratePerSecond() + this.tolerance.ratePerSecond(quota)) * share;
		double capacity = quota.burst() * share;
		QuotaBucket bucket = this.buckets.computeIfAbsent(account.name(),
				(name) -> new QuotaBucket(this.startsFull ? capacity : rate, nowMillis));
		bucket.refill(rate, capacity, nowMillis);
		double level = bucket.level();
		if (bucket.trySpend(cost)) {
			return new QuotaDecision(0, 0, share, rate, level);
		}
		return new QuotaDecision(bucket.waitMillis(cost), bucket.missing(cost), share, rate, level);
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

	/**
	 * Take units out of this node's share for another node.
	 * @param account the account
	 * @param units the units that the other node asks for
	 * @param nowMillis the present time
	 * @return the units that were taken; at most half of what is left
	 */
	public long lend(ClientAccount account, long units, long nowMillis) {
		QuotaBucket bucket = this.buckets.get(account.name());
		if (bucket == null || !account.quota().isLimited()) {
			return 0;
		}
		bucket.refillAsBefore(nowMillis);
		long lent = Math.max(0, Math.min(units, (long) (bucket.level() * LENT_PART)));
		bucket.refund(-lent);
		return lent;
	}

	/**
	 * Take units that another node lent.
	 * @param account the name of the account
	 * @param units the units
	 */
	public void receive(String account, long units) {
		QuotaBucket bucket = this.buckets.get(account);
		if (bucket != null) {
			bucket.refund(units);
		}
	}

	/**
	 * Go on from what the run of this node before reported, which all others have heard.
	 * Without it a node that starts again would refuse nearly everything until its second
	 * report.
	 * @param unitsPerSecond its demand, by account
	 * @param nowMillis the present time
	 */
	public void restoreDemand(Map<String, Long> unitsPerSecond, long nowMillis) {
		unitsPerSecond.forEach((account, units) -> this.demands.computeIfAbsent(account, (name) -> new DemandMeter())
			.resume(units, nowMillis));
		this.heardByAll = Map.copyOf(unitsPerSecond);
		this.reported = this.heardByAll;
	}

	private static double share(String account, double own, FleetDemand fleet) {
		double even = 1.0 / fleet.nodes();
		double others = fleet.otherNodesUnitsPerSecond(account);
		double total = own + others;
		return (total > 0) ? EVEN_PART * even + (1 - EVEN_PART) * own / total : even;
	}

	/**
	 * Make the next report of this node's demand. Its own shares follow the report
	 * before, so that nodes don't count a jump twice that others have not heard of.
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
