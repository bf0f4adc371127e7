package io.flamingogap.core.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * One version of the routing configuration. Immutable; a newer version replaces all of
 * it.
 */
public final class ServingConfig {

	private final long version;

	private final Map<String, List<RouteRule>> routesByHost;

	private final Map<String, RouteRule> routesByName = new HashMap<>();

	private final Map<String, BackendService> services;

	private final Map<String, ClientAccount> accountsByKey;

	private final Map<String, ClientAccount> accountsByName = new HashMap<>();

	private final List<ClientAccount> accounts;

	private final ListenerLimits limits;

	private ServingConfig(long version, List<RouteRule> routes, List<BackendService> services,
			List<ClientAccount> accounts, ListenerLimits limits) {
		this.version = version;
		this.routesByHost = byHost(routes);
		routes.forEach((route) -> this.routesByName.put(route.name(), route));
		this.services = new HashMap<>();
		services.forEach((service) -> this.services.put(service.name(), service));
		this.accounts = List.copyOf(accounts);
		this.accountsByKey = new HashMap<>();
		accounts.forEach((account) -> account.keys().forEach((key) -> this.accountsByKey.put(key, account)));
		accounts.forEach((account) -> this.accountsByName.put(account.name(), account));
		this.limits = limits;
	}

	/**
	 * Create a version of the configuration.
	 * @param version the version number; higher is newer
	 * @param routes the routes of all hosts, in any order
	 * @param services the services that routes refer to
	 * @param accounts the client accounts; if empty, callers need no key
	 * @param limits the limits on requests of callers
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
	 * Find the route of a request. Of the routes of the host whose prefix the path starts
	 * with, the one with the longest prefix wins.
	 * @param host the host in lower case, without a port
	 * @param path the path, without the query
	 * @return the route; empty if none matches
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
	 * Find a route by name.
	 * @param name the name
	 * @return the route; empty if it isn't configured
	 */
	public Optional<RouteRule> findRouteNamed(String name) {
		return Optional.ofNullable(this.routesByName.get(name));
	}

	/**
	 * Return the routes of a host.
	 * @param host the host in lower case, without a port
	 * @return the routes, the longest prefix first; empty for an unknown host
	 */
	public List<RouteRule> routesOf(String host) {
		return Collections.unmodifiableList(this.routesByHost.getOrDefault(host, List.of()));
	}

	/**
	 * Return the routes of all hosts.
	 * @return the routes, in no particular order
	 */
	public Collection<RouteRule> routes() {
		return Collections.unmodifiableCollection(this.routesByName.values());
	}

	/**
	 * Find a client account by name.
	 * @param name the name
	 * @return the account; empty if it isn't configured
	 */
	public Optional<ClientAccount> findAccountNamed(String name) {
		return Optional.ofNullable(this.accountsByName.get(name));
	}

	/**
	 * Find the client account that holds a key.
	 * @param key the key as the caller presents it
	 * @return the account; empty if no account holds the key
	 */
	public Optional<ClientAccount> findAccount(String key) {
		return Optional.ofNullable(this.accountsByKey.get(key));
	}

	/**
	 * Find a service by name.
	 * @param name the name
	 * @return the service; empty if it isn't configured
	 */
	public Optional<BackendService> findService(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Return whether a service has servers that can be cold.
	 * @return {@code true} if servers of at least one service are cold after a start
	 */
	public boolean hasColdStarts() {
		return this.services.values().stream().anyMatch((service) -> service.coldStart().isPresent());
	}

	/**
	 * Return whether callers must present a key on routes that aren't public.
	 * @return {@code true} if there are client accounts
	 */
	public boolean requiresKeys() {
		return !this.accounts.isEmpty();
	}

	/**
	 * Return the version of this configuration.
	 * @return the version number; higher is newer
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Return all services.
	 * @return the services, in no particular order
	 */
	public List<BackendService> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Return all client accounts.
	 * @return the accounts, in the order of the configuration
	 */
	public List<ClientAccount> accounts() {
		return this.accounts;
	}

	/**
	 * Return the limits on requests of callers.
	 * @return the limits
	 */
	public ListenerLimits limits() {
		return this.limits;
	}

}
