package io.flamingogap.core.quota;

import java.util.Objects;

/**
 * Message between two nodes about the quota of an account. Messages may be lost, delayed
 * or delivered twice.
 */
public sealed interface QuotaMessage {

	/**
	 * Request to a holder to spend units.
	 *
	 * @param id identifies the message among those of the sender
	 * @param account the name of the account
	 * @param units the units to spend
	 */
	record Charge(long id, String account, long units) implements QuotaMessage {

		public Charge {
			Objects.requireNonNull(account, "account must not be null");
		}

	}

	/**
	 * Answer of a holder to a {@link Charge}.
	 *
	 * @param id the id of the charge
	 * @param isHolder whether the sender holds a share and may spend it; if not, the
	 * other fields say nothing
	 * @param waitMillis 0 if the units were spent, otherwise the time until they can be,
	 * in milliseconds
	 * @param missingUnits how many units are missing; 0 if they were spent
	 * @param availableUnits the units that were left before
	 */
	record Verdict(long id, boolean isHolder, long waitMillis, long missingUnits,
			long availableUnits) implements QuotaMessage {
	}

	/**
	 * Return of units that were spent for a request that didn't run.
	 *
	 * @param id the id of the charge
	 * @param account the name of the account
	 * @param units the units
	 */
	record Refund(long id, String account, long units) implements QuotaMessage {

		public Refund {
			Objects.requireNonNull(account, "account must not be null");
		}

	}

}
