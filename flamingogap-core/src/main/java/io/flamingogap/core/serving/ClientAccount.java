package io.flamingogap.core.serving;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Client account and the keys that its callers authenticate with.
 *
 * @param name the name, which is passed on to backend servers
 * @param keys the valid keys, in the form that callers present
 * @param priority the priority that replaces that of the route; empty to keep the
 * route's, 0 is the most urgent
 * @param quota the request or token rate that the account may use
 * @param allowedRegions the regions that may process the account's requests
 */
public record ClientAccount(String name, List<String> keys, OptionalInt priority, AccountQuota quota,
		AllowedRegions allowedRegions) {

	public ClientAccount {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(priority, "priority must not be null");
		Objects.requireNonNull(quota, "quota must not be null");
		Objects.requireNonNull(allowedRegions, "allowedRegions must not be null");
		keys = List.copyOf(keys);
	}

	/**
	 * Create an account whose requests all regions may process.
	 * @param name the name, which is passed on to backend servers
	 * @param keys the valid keys, in the form that callers present
	 * @param priority the priority that replaces that of the route; empty to keep the
	 * route's
	 * @param quota the request or token rate that the account may use
	 */
	public ClientAccount(String name, List<String> keys, OptionalInt priority, AccountQuota quota) {
		this(name, keys, priority, quota, AllowedRegions.ALL);
	}

}
