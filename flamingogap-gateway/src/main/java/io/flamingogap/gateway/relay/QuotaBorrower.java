package io.flamingogap.gateway.relay;

import io.flamingogap.core.serving.ClientAccount;

/**
 * Borrows units of an account's quota from other nodes. Borrowed units are not returned.
 */
public interface QuotaBorrower {

	/**
	 * Request units from other nodes.
	 * @param account the account whose quota lacks units
	 * @param units the number of units that a request lacks
	 * @param onCompleted runs after the wait for units, whether or not any arrived
	 * @return {@code false} if no node can be asked now; {@code onCompleted} does not run
	 * then
	 */
	boolean borrow(ClientAccount account, long units, Runnable onCompleted);

}
