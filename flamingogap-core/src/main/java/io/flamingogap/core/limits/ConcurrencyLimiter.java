package io.flamingogap.core.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.flamingogap.core.error.Failure;
import io.flamingogap.core.error.ProblemType;
import io.flamingogap.core.error.Step;
import io.flamingogap.core.manifest.Account;

/**
 * Bounds the requests that are open at a node, in all and by account.
 * <p>
 * Not safe for use by several threads.
 */
public final class ConcurrencyLimiter {

	private final int maxOpen;

	private final Map<String, Integer> byAccount = new HashMap<>();

	private int open;

	/**
	 * Create the bound.
	 * @param maxOpen the most requests open at the node
	 */
	public ConcurrencyLimiter(int maxOpen) {
		if (maxOpen < 1) {
			throw new IllegalArgumentException("maxOpen must be positive but was " + maxOpen);
		}
		this.maxOpen = maxOpen;
	}

	/**
	 * Open a request.
	 * @param account the account that it is for
	 * @return why it is refused, or nothing if it was opened
	 */
	public Optional<Failure> tryAcquire(Account account) {
		int accountOpen = this.byAccount.getOrDefault(account.name(), 0);
		if (accountOpen >= account.maxOpenRequests()) {
			return Optional.of(Failure.notRun(ProblemType.TOO_MANY_REQUESTS, Step.ADMIT, "caller",
					accountOpen + " requests of account " + account.name() + " are open"));
		}
		if (this.open >= this.maxOpen) {
			return Optional
				.of(Failure.notRun(ProblemType.OVERLOADED, Step.ADMIT, "caller", this.open + " requests are open"));
		}
		this.open++;
		this.byAccount.put(account.name(), accountOpen + 1);
		return Optional.empty();
	}

	/**
	 * Close a request that was opened.
	 * @param account the account that it was for
	 */
	public void release(Account account) {
		this.open--;
		this.byAccount.computeIfPresent(account.name(), (name, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Return the number of open requests.
	 * @return the number
	 */
	public int openRequests() {
		return this.open;
	}

}
