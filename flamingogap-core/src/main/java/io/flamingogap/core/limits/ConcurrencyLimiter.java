package io.flamingogap.core.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.Account;

/**
 * Limits the number of open requests at a node, in total and by account.
 * <p>
 * Not thread-safe.
 */
public final class ConcurrencyLimiter {

	private final int maxOpen;

	private final Map<String, Integer> openByAccount = new HashMap<>();

	private int open;

	/**
	 * Create a limiter without open requests.
	 * @param maxOpen the maximum number of open requests of all accounts
	 */
	public ConcurrencyLimiter(int maxOpen) {
		if (maxOpen < 1) {
			throw new IllegalArgumentException("maxOpen must be positive but was " + maxOpen);
		}
		this.maxOpen = maxOpen;
	}

	/**
	 * Count a request as open, or refuse it if a limit is reached.
	 * @param account the account of the caller
	 * @return the reason for the refusal; empty if the request was counted, so that the
	 * caller has to release it
	 */
	public Optional<Failure> acquireOrRefuse(Account account) {
		int accountOpen = this.openByAccount.getOrDefault(account.name(), 0);
		if (accountOpen >= account.maxOpenRequests()) {
			return Optional
				.of(Failure.notRun(ProblemType.TOO_MANY_REQUESTS, Step.ADMIT, "caller", accountOpen + " of at most "
						+ account.maxOpenRequests() + " requests of account " + account.name() + " are open"));
		}
		if (this.open >= this.maxOpen) {
			return Optional.of(Failure.notRun(ProblemType.OVERLOADED, Step.ADMIT, "caller",
					this.open + " of at most " + this.maxOpen + " requests are open at the node"));
		}
		this.open++;
		this.openByAccount.put(account.name(), accountOpen + 1);
		return Optional.empty();
	}

	/**
	 * Release a request that was counted as open.
	 * @param account the account that the request was counted for
	 */
	public void release(Account account) {
		this.open--;
		this.openByAccount.computeIfPresent(account.name(), (name, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Return the number of open requests.
	 * @return the total of all accounts
	 */
	public int openRequests() {
		return this.open;
	}

}
