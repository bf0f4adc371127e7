package io.flamingogap.core.routing;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import io.flamingogap.core.manifest.BackendServer;

/**
 * Which backend servers may take a request.
 *
 * @param service the service
 * @param version the version
 * @param zones the availability zones it may run in; none means all
 * @param tried the names of the servers that the request has tried
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
	 * @param server the server
	 * @return {@code true} if its zone is allowed and it was not tried
	 */
	boolean allows(BackendServer server) {
		return (this.zones.isEmpty() || this.zones.contains(server.zone())) && !this.tried.contains(server.name());
	}

}
