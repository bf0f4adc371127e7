package io.flamingogap.core.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Inquiries that no holder answered, in the order of their arrival. While some of an
 * account wait, the first of them alone asks the holders again, so that the messages
 * don't grow with the number of those that wait.
 * <p>
 * Not thread-safe.
 */
final class WaitingInquiries {

	/**
	 * How long an inquiry waits for holders. Longer than the time between the first and
	 * the last start of nodes that were lost together.
	 */
	static final long MAX_WAIT_MILLIS = 1_000;

	/** Maximum number over all accounts. */
	static final int MAX_INQUIRIES = 256;

	private final Map<String, Deque<QuotaInquiry>> byAccount = new HashMap<>();

	private int size;

	/**
	 * Return whether an inquiry has waited for too long.
	 * @param inquiry the inquiry
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return {@code true} if it is to be refused
	 */
	static boolean hasExpired(QuotaInquiry inquiry, long nowMillis) {
		return nowMillis - inquiry.startedAtMillis() >= MAX_WAIT_MILLIS;
	}

	/**
	 * Add an inquiry behind the others of its account.
	 * @param inquiry the inquiry, which no holder answered or which hasn't asked yet
	 * @return whether it waits; {@code false} if there are too many
	 */
	boolean add(QuotaInquiry inquiry) {
		if (this.size >= MAX_INQUIRIES) {
			return false;
		}
		this.size++;
		this.byAccount.computeIfAbsent(inquiry.account().name(), (name) -> new ArrayDeque<>()).add(inquiry);
		return true;
	}

	/**
	 * Return whether inquiries of an account wait.
	 * @param account the name of the account
	 * @return {@code true} if at least one waits
	 */
	boolean isAnyWaiting(String account) {
		return this.byAccount.containsKey(account);
	}

	/**
	 * Return whether an inquiry is the one that asks for its account.
	 * @param inquiry the inquiry
	 * @return {@code true} if it is the first of its account
	 */
	boolean isFirst(QuotaInquiry inquiry) {
		String account = inquiry.account().name();
		return isAnyWaiting(account) && first(account) == inquiry;
	}

	/**
	 * Return the inquiry that asks the holders for its account.
	 * @param account the name of the account, of which inquiries wait
	 * @return the first one
	 */
	QuotaInquiry first(String account) {
		return this.byAccount.get(account).getFirst();
	}

	/**
	 * Remove the inquiries of an account that have waited for too long.
	 * @param account the name of the account
	 * @param nowMillis the current time of a monotonic clock, in milliseconds
	 * @return the removed inquiries
	 */
	List<QuotaInquiry> removeExpired(String account, long nowMillis) {
		List<QuotaInquiry> removed = new ArrayList<>();
		List<QuotaInquiry> kept = new ArrayList<>();
		removeAll(account).forEach((inquiry) -> (hasExpired(inquiry, nowMillis) ? removed : kept).add(inquiry));
		kept.forEach(this::add);
		return removed;
	}

	/**
	 * Remove all inquiries of an account.
	 * @param account the name of the account
	 * @return the removed inquiries in their order
	 */
	List<QuotaInquiry> removeAll(String account) {
		Deque<QuotaInquiry> removed = this.byAccount.remove(account);
		if (removed == null) {
			return List.of();
		}
		this.size -= removed.size();
		return List.copyOf(removed);
	}

	/**
	 * Return the accounts of which inquiries wait.
	 * @return the names
	 */
	List<String> accounts() {
		return List.copyOf(this.byAccount.keySet());
	}

}
