package io.flamingogap.core.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One version of the configuration. Immutable; a newer version replaces it as a whole.
 */
public final class ServingConfig {

	private final long version;

	private final Map<String, List<RouteRule>> routesByHost;

	private final Map<String, BackendService> services;

	private final Map<String, ClientAccount> accountsByKey;

	private final List<ClientAccount> accounts;

	private final ListenerLimits limits;

	private ServingConfig(long version, List<RouteRule> routes, List<BackendService> services,
			List<ClientAccount> accounts, ListenerLimits limits) {
		this.version = version;
		this.routesByHost = byHost(routes);
		this.services = new HashMap<>();
		services.forEach((service) -> this.services.put(service.name(), service));
		this.accounts = List.copyOf(accounts);
		this.accountsByKey = new HashMap<>();
		accounts.forEach((account) -> account.keys().forEach((key) -> this.accountsByKey.put(key, account)));
		this.limits = limits;
	}

	/**
	 * Create a version of the configuration.
	 * @param version the version number
	 * @param routes the routes
	 * @param services the services
	 * @param accounts the client accounts; none means that callers need no key
	 * @param limits the bounds on what callers send
	 * @return the configuration
	 */
	public static ServingConfig of(long version, List<RouteRule> routes, List<BackendService> services,
			List<ClientAccount> accounts, ListenerLimits limits) {
		Objects.requireNonNull(limits, "limits must not be null");
		return new ServingConfig(version, routes, services, accounts, limits);
	}

	private static Map<String, List<RouteRule>> byHost(List<RouteRule> routes) {
		Map<String, List<RouteRule>> byHost = new HashMap<>();
		routes.forEach((route) -> byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route));
		Comparator<RouteRule> longestFirst = Comparator.comparingInt((RouteRule route) -> -route.prefix().length());
		byHost.values().forEach((list) -> list.sort(longestFirst));
		return byHost;
	}

	/**
	 * Find the route of a request: the longest prefix of its host that begins its path.
	 * @param host the host, without a port
	 * @param path the path, without the query
	 * @return the route, if there is one
	 */
	public Optional<RouteRule> findRoute(String host, String path) {
		for (RouteRule route : this.routesByHost.getOrDefault(host, List.of())) {
			if (path.startsWith(route.prefix())) {
				return Optional.of(route);
			}
		}
		return Optional.empty();
	}

	/**
	 * Find the client account that holds a key.
	 * @param key the key as the caller presents it
	 * @return the account, if one holds it
	 */
	public Optional<ClientAccount> findAccount(String key) {
		return Optional.ofNullable(this.accountsByKey.get(key));
	}

	/**
	 * Find a service by name.
	 * @param name the name
	 * @return the service, if it is configured
	 */
	public Optional<BackendService> findService(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Return whether callers have to present a key on routes that aren't public.
	 * @return {@code true} if there are client accounts
	 */
	public boolean requiresKeys() {
		return !this.accounts.isEmpty();
	}

	/**
	 * Return the version.
	 * @return the version number
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Return the services.
	 * @return the services, in no order
	 */
	public List<BackendService> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Return the client accounts.
	 * @return the accounts
	 */
	public List<ClientAccount> accounts() {
		return this.accounts;
	}

	/**
	 * Return the bounds on what callers send.
	 * @return the limits
	 */
	public ListenerLimits limits() {
		return this.limits;
	}

}
