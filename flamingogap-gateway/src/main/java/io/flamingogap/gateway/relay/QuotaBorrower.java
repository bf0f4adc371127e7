package io.flamingogap.gateway.relay;

import io.flamingogap.core.serving.ClientAccount;

/**
 * Borrows units of an account's quota from other nodes.
 */
public interface QuotaBorrower {

	/**
	 * Ask other nodes for units.
	 * @param account the account
	 * @param units the units that a request lacks
	 * @param answered runs when units have come or none will
	 * @return {@code false} if none can be asked for now; {@code answered} doesn't run
	 */
	boolean borrow(ClientAccount account, long units, Runnable answered);

}
