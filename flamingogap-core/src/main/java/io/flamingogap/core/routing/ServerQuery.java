package io.flamingogap.core.routing;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import io.flamingogap.core.manifest.BackendServer;

/**
 * Criteria for the backend servers that may take a request.
 *
 * @param service the name of the service
 * @param version the version that the servers must run
 * @param zones the availability zones that the request may run in; empty for all
 * @param tried the names of the servers that the request has already tried
 */
public record ServerQuery(String service, String version, List<String> zones, Set<String> tried) {

	public ServerQuery {
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(version, "version must not be null");
		zones = List.copyOf(zones);
		tried = Set.copyOf(tried);
	}

	/**
	 * Return whether a server of the service's version may take the request.
	 * @param server a server of the service and version
	 * @return {@code true} if its zone is allowed and it was not tried
	 */
	boolean allows(BackendServer server) {
		return (this.zones.isEmpty() || this.zones.contains(server.zone())) && !this.tried.contains(server.name());
	}

}
