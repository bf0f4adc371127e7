package io.flamingogap.core.quota;

import java.util.HashMap;
import java.util.Map;

import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.ClientAccount;

/**
 * Admits requests within this node's shares of the accounts' quotas. The shares of all
 * nodes add up to one: a part of each quota is split evenly, and the rest in proportion
 * to the demand that the nodes report. A node that receives no reports keeps using the
 * last ones, so that the sum stays bounded.
 * <p>
 * Not thread-safe.
 */
public final class QuotaLimiter {

	/**
	 * Share of each quota that is split evenly, so that nodes whose demand has just begun
	 * get some of it.
	 */
	private static final double EVENLY_SPLIT_SHARE = 0.15;

	/** Maximum share of the available units that one loan takes. */
	private static final double MAX_LENT_SHARE = 0.5;

	private final Map<String, QuotaBucket> buckets = new HashMap<>();

	private final Map<String, DemandMeter> demandMeters = new HashMap<>();

	/**
	 * Demand in the last report but one. All other nodes are expected to have received
	 * that report, while the last one may not have arrived yet.
	 */
	private Map<String, Long> reportedBeforeLast = Map.of();

	private Map<String, Long> lastReport = Map.of();

	private final QuotaTolerance tolerance;

	private final boolean startsFull;

	/**
	 * Create a limiter.
	 * @param tolerance the excess that is allowed over all nodes
	 * @param startsFull whether buckets start full; {@code false} for a restarted node,
	 * whose previous run may have spent the burst. Its buckets start with the units of
	 * one second.
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
	 * Try again to admit a request that was refused, without counting it as demand again.
	 * @param account the account of the caller
	 * @param cost the units that the request uses
	 * @param fleet the demand that other nodes report
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the decision; an admitted request has used its units
	 */
	public QuotaDecision retryAdmission(ClientAccount account, long cost, FleetDemand fleet, long nowMillis) {
		AccountQuota quota = account.quota();
		double share = share(account.name(), this.reportedBeforeLast.getOrDefault(account.name(), 0L), fleet);
		double rate = (quota.ratePerSecond() + this.tolerance.extraRatePerSecond(quota)) * share;
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
			bucket.add(cost);
		}
	}

	/**
	 * Lend units of this node's share to another node.
	 * @param account the account that the units belong to
	 * @param units the units that the other node requests
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the lent units, which this node can no longer spend; at most half of the
	 * available ones, and 0 for an account that is unlimited or unknown here
	 */
	public long lend(ClientAccount account, long units, long nowMillis) {
		QuotaBucket bucket = this.buckets.get(account.name());
		if (bucket == null || !account.quota().isLimited()) {
			return 0;
		}
		bucket.refillAtLastRate(nowMillis);
		long lent = Math.max(0, Math.min(units, (long) (bucket.level() * MAX_LENT_SHARE)));
		bucket.add(-lent);
		return lent;
	}

	/**
	 * Add units that another node lent to this node.
	 * @param account the name of the account
	 * @param units the lent units
	 */
	public void receive(String account, long units) {
		QuotaBucket bucket = this.buckets.get(account);
		if (bucket != null) {
			bucket.add(units);
		}
	}

	/**
	 * Restore the demand that the previous run of this node reported to the other nodes.
	 * Otherwise a restarted node would refuse nearly all requests until its second
	 * report.
	 * @param unitsPerSecond the demand of the previous run by account, from a report that
	 * all other nodes have received
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	public void restoreDemand(Map<String, Long> unitsPerSecond, long nowMillis) {
		unitsPerSecond
			.forEach((account, units) -> this.demandMeters.computeIfAbsent(account, (name) -> new DemandMeter())
				.raiseTo(units, nowMillis));
		this.reportedBeforeLast = Map.copyOf(unitsPerSecond);
		this.lastReport = this.reportedBeforeLast;
	}

	private static double share(String account, double own, FleetDemand fleet) {
		double even = 1.0 / fleet.nodes();
		double others = fleet.otherNodesUnitsPerSecond(account);
		double total = own + others;
		return (total > 0) ? EVENLY_SPLIT_SHARE * even + (1 - EVENLY_SPLIT_SHARE) * own / total : even;
	}

	/**
	 * Create the next report of this node's demand. From then on this node computes its
	 * own shares from the report before it. Otherwise a jump in demand would raise the
	 * share of this node before the other nodes receive the report and lower theirs.
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
		this.reportedBeforeLast = this.lastReport;
		this.lastReport = report;
		return report;
	}

}
