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
 * Not safe for use by several threads.
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
	 * Open a request unless a limit is reached.
	 * @param account the account of the caller
	 * @return why the request is refused; empty if it was opened and has to be released
	 */
	public Optional<Failure> acquireOrRefuse(Account account) {
		int accountOpen = this.openByAccount.getOrDefault(account.name(), 0);
		if (accountOpen >= account.maxOpenRequests()) {
			return Optional.of(Failure.notRun(ProblemType.TOO_MANY_REQUESTS, Step.ADMIT, "caller",
					accountOpen + " requests of account " + account.name() + " are open"));
		}
		if (this.open >= this.maxOpen) {
			return Optional
				.of(Failure.notRun(ProblemType.OVERLOADED, Step.ADMIT, "caller", this.open + " requests are open"));
		}
		this.open++;
		this.openByAccount.put(account.name(), accountOpen + 1);
		return Optional.empty();
	}

	/**
	 * Close a request that was opened.
	 * @param account the account that the request was opened with
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
