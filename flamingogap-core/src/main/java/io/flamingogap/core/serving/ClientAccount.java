package io.flamingogap.core.serving;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * A client account and the keys that its callers present.
 *
 * @param name the name, which backend servers are told
 * @param keys the keys in force
 * @param priority the urgency that replaces the one of the route, if any
 * @param quota what it may use
 */
public record ClientAccount(String name, List<String> keys, OptionalInt priority, AccountQuota quota) {

	public ClientAccount {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(priority, "priority must not be null");
		Objects.requireNonNull(quota, "quota must not be null");
		keys = List.copyOf(keys);
	}

}
