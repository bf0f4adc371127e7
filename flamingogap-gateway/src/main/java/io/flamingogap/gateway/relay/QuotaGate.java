package io.flamingogap.gateway.relay;

import io.flamingogap.core.quota.FleetQuotas;
import io.flamingogap.core.quota.QuotaCharge;
import io.flamingogap.core.serving.ClientAccount;

/**
 * Admits requests within the accounts' quotas.
 */
public interface QuotaGate {

	/**
	 * Admit a request or refuse it.
	 * @param account the account of the caller
	 * @param cost the units that the request uses
	 * @param listener receives the decision, exactly once, possibly before this method
	 * returns
	 */
	void admit(ClientAccount account, long cost, FleetQuotas.DecisionListener listener);

	/**
	 * Return the units of a request that didn't run.
	 * @param account the account of the caller
	 * @param charge what was spent for the request
	 */
	void refund(ClientAccount account, QuotaCharge charge);

}
