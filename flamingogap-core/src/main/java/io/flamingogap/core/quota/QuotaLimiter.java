package io.flamingogap.core.quota;

import java.util.HashMap;
import java.util.Map;

import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.ClientAccount;

/**
 * Admits requests within this node's shares of the accounts' quotas. The shares of all
 * nodes add up to one. A part is split evenly, the rest by the demand that nodes report.
 * A node that receives no reports keeps the last ones, so that the sum stays bounded.
 * <p>
 * Not safe for use by several threads.
 */
public final class QuotaLimiter {

	/** Share of each quota that is split evenly, for nodes whose demand just began. */
	private static final double EVENLY_SPLIT_SHARE = 0.15;

	/** Maximum share of the available units that is lent at once. */
	private static final double MAX_LENT_SHARE = 0.5;

	private final Map<String, QuotaBucket> buckets = new HashMap<>();

	private final Map<String, DemandMeter> demandMeters = new HashMap<>();

	/**
	 * Demand in the last report but one, the newest that all other nodes have received.
	 */
	private Map<String, Long> knownToAll = Map.of();

	private Map<String, Long> lastReport = Map.of();

	private final QuotaTolerance tolerance;

	private final boolean startsFull;

	/**
	 * Create a limiter.
	 * @param tolerance the excess that is allowed over all nodes
	 * @param startsFull whether the buckets start with their burst, which the previous
	 * run of a restarted node may have spent
	 */
	public QuotaLimiter(QuotaTolerance tolerance, boolean startsFull) {
		this.tolerance = tolerance;
		this.startsFull = startsFull;
	}

	/**
	 * Admit a request or refuse it, and count it as demand.
	 * @param account the account of the caller
	 * @param cost the units that the request uses
	 * @param fleet the demand that other nodes report
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the decision; an admitted request has used its units
	 */
	public QuotaDecision admit(ClientAccount account, long cost, FleetDemand fleet, long nowMillis) {
		AccountQuota quota = account.quota();
		if (!quota.isLimited()) {
			return QuotaDecision.UNLIMITED;
		}
		this.demandMeters.computeIfAbsent(account.name(), (name) -> new DemandMeter()).add(cost, nowMillis);
		return retryAdmission(account, cost, fleet, nowMillis);
	}

	/**
	 * Admit or refuse a request that was refused before. It isn't counted as demand
	 * again.
	 * @param account the account of the caller
	 * @param cost the units that the request uses
	 * @param fleet the demand that other nodes report
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the decision; an admitted request has used its units
	 */
	public QuotaDecision retryAdmission(ClientAccount account, long cost, FleetDemand fleet, long nowMillis) {
		AccountQuota quota = account.quota();
		double share = share(account.name(), this.knownToAll.getOrDefault(account.name(), 0L), fleet);
		double rate = (quota.ratePerSecond() + this.tolerance.ratePerSecond(quota)) * share;
		double capacity = quota.burst() * share;
		QuotaBucket bucket = this.buckets.computeIfAbsent(account.name(),
				(name) -> new QuotaBucket(this.startsFull ? capacity : rate, nowMillis));
		bucket.refill(rate, capacity, nowMillis);
		double level = bucket.level();
		if (bucket.trySpend(cost)) {
			return new QuotaDecision(0, 0, share, rate, level);
		}
		return new QuotaDecision(bucket.waitMillis(cost), bucket.missingUnits(cost), share, rate, level);
	}

	/**
	 * Refund the units that an admitted request did not use.
	 * @param account the account of the caller
	 * @param cost the unused units
	 */
	public void refund(ClientAccount account, long cost) {
		QuotaBucket bucket = this.buckets.get(account.name());
		if (bucket != null) {
			bucket.refund(cost);
		}
	}

	/**
	 * Take units out of this node's share for another node.
	 * @param account the account that the units belong to
	 * @param units the units that the other node requests
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the units that were taken; at most half of the available ones, 0 for an
	 * account that is unlimited or unknown here
	 */
	public long lend(ClientAccount account, long units, long nowMillis) {
		QuotaBucket bucket = this.buckets.get(account.name());
		if (bucket == null || !account.quota().isLimited()) {
			return 0;
		}
		bucket.refillAtLastRate(nowMillis);
		long lent = Math.max(0, Math.min(units, (long) (bucket.level() * MAX_LENT_SHARE)));
		bucket.refund(-lent);
		return lent;
	}

	/**
	 * Add units that another node lent to this node's share.
	 * @param account the name of the account
	 * @param units the lent units
	 */
	public void receive(String account, long units) {
		QuotaBucket bucket = this.buckets.get(account);
		if (bucket != null) {
			bucket.refund(units);
		}
	}

	/**
	 * Restore the demand that the previous run of this node reported and all other nodes
	 * have received. Without it a restarted node would refuse nearly all requests until
	 * its second report.
	 * @param unitsPerSecond the demand of the previous run, by account
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void restoreDemand(Map<String, Long> unitsPerSecond, long nowMillis) {
		unitsPerSecond
			.forEach((account, units) -> this.demandMeters.computeIfAbsent(account, (name) -> new DemandMeter())
				.raiseTo(units, nowMillis));
		this.knownToAll = Map.copyOf(unitsPerSecond);
		this.lastReport = this.knownToAll;
	}

	private static double share(String account, double own, FleetDemand fleet) {
		double even = 1.0 / fleet.nodes();
		double others = fleet.otherNodesUnitsPerSecond(account);
		double total = own + others;
		return (total > 0) ? EVENLY_SPLIT_SHARE * even + (1 - EVENLY_SPLIT_SHARE) * own / total : even;
	}

	/**
	 * Create the next report of this node's demand. Its own shares then follow the
	 * previous report: a jump in demand that other nodes don't know yet must not raise
	 * the share of this node before it lowers theirs.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the units per second, by account
	 */
	public Map<String, Long> createDemandReport(long nowMillis) {
		Map<String, Long> report = new HashMap<>();
		this.demandMeters.forEach((account, meter) -> {
			long perSecond = Math.round(meter.unitsPerSecond(nowMillis));
			if (perSecond > 0) {
				report.put(account, perSecond);
			}
		});
		this.knownToAll = this.lastReport;
		this.lastReport = report;
		return report;
	}

}
