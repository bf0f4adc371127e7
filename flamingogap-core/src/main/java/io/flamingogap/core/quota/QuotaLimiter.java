package io.flamingogap.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.ClientAccount;

/**
 * Spends the shares of the accounts' quotas that this node holds.
 * <p>
 * Not thread-safe.
 */
final class QuotaLimiter {

	private final Map<String, Holding> holdings = new HashMap<>();

	private final QuotaTolerance tolerance;

	/**
	 * Create a limiter that holds nothing.
	 * @param tolerance the excess that is allowed over all nodes
	 */
	QuotaLimiter(QuotaTolerance tolerance) {
		this.tolerance = tolerance;
	}

	/**
	 * Begin to hold a share of an account's quota, or change the share.
	 * @param account the name of the account
	 * @param share the share, above 0 and at most 1
	 * @param start how the node comes to hold it; ignored if it holds a share already
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	void hold(String account, double share, HoldingStart start, long nowMillis) {
		Holding known = this.holdings.get(account);
		this.holdings.put(account,
				(known != null) ? new Holding(share, known.start, known.usableFromMillis, known.bucket)
						: new Holding(share, start, nowMillis + start.delayMillis(), null));
	}

	/**
	 * Stop holding a share of an account's quota.
	 * @param account the name of the account, of which nothing may be held
	 */
	void release(String account) {
		this.holdings.remove(account);
	}

	/**
	 * Take all shares over anew, because other nodes may hold them by now.
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	void retakeAll(long nowMillis) {
		HoldingStart start = HoldingStart.TAKEN_OVER;
		this.holdings
			.replaceAll((account, holding) -> new Holding(holding.share, start, nowMillis + start.delayMillis(), null));
	}

	/**
	 * Admit a request or refuse it.
	 * @param account the account of the caller, with a limit
	 * @param cost the units that the request uses
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @param self the name of this node
	 * @return the decision; an admitted request has used its units. Empty if this node
	 * holds no share of the quota, or may not spend it yet
	 */
	Optional<QuotaDecision> trySpend(ClientAccount account, long cost, long nowMillis, String self) {
		return findUsableBucket(account, nowMillis).map((bucket) -> {
			long availableUnits = (long) Math.floor(bucket.level());
			return bucket.trySpend(cost) ? new QuotaDecision(0, 0, availableUnits, self) : new QuotaDecision(
					Math.max(1, bucket.waitMillis(cost)), bucket.missingUnits(cost), availableUnits, self);
		});
	}

	/**
	 * Refund the units that an admitted request did not use.
	 * @param account the account of the caller
	 * @param cost the unused units
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 */
	void refund(ClientAccount account, long cost, long nowMillis) {
		findUsableBucket(account, nowMillis).ifPresent((bucket) -> bucket.add(cost));
	}

	private Optional<QuotaBucket> findUsableBucket(ClientAccount account, long nowMillis) {
		Holding holding = this.holdings.get(account.name());
		if (holding == null || nowMillis < holding.usableFromMillis) {
			return Optional.empty();
		}
		AccountQuota quota = account.quota();
		double rate = (quota.ratePerSecond() + this.tolerance.extraRatePerSecond(quota)) * holding.share;
		double capacity = quota.burst() * holding.share;
		QuotaBucket bucket = holding.bucket;
		if (bucket == null) {
			bucket = new QuotaBucket(holding.start.initialLevel(rate, capacity), holding.usableFromMillis);
			this.holdings.put(account.name(),
					new Holding(holding.share, holding.start, holding.usableFromMillis, bucket));
		}
		bucket.refill(rate, capacity, nowMillis);
		return Optional.of(bucket);
	}

	/**
	 * Share of one account's quota.
	 *
	 * @param share the share, from 0 to 1
	 * @param start how this node came to hold it
	 * @param usableFromMillis the time before which nothing may be spent
	 * @param bucket the bucket; {@code null} before the first request
	 */
	private record Holding(double share, HoldingStart start, long usableFromMillis, @Nullable QuotaBucket bucket) {
	}

}
