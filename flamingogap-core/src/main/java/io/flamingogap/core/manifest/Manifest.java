package io.flamingogap.core.manifest;

import java.util.List;
import java.util.Optional;

import io.flamingogap.core.toml.Default;

/**
 * Complete configuration that operators publish. A manifest replaces the previous one as
 * a whole. The components are named like the tables of the TOML document.
 *
 * @param zone the availability zones
 * @param service the services
 * @param server the backend servers
 * @param account the client accounts
 * @param operator the operators
 * @param rollout the planned or running rollouts, at most one for each service
 */
public record Manifest(List<Zone> zone, List<Service> service, List<BackendServer> server, List<Account> account,
		List<Operator> operator, @Default("") List<Rollout> rollout) {

	private static final Manifest EMPTY = new Manifest(List.of(), List.of(), List.of(), List.of(), List.of(),
			List.of());

	/**
	 * Return the manifest that applies before the first one is published.
	 * @return a manifest without entries
	 */
	public static Manifest empty() {
		return EMPTY;
	}

	/**
	 * Find a service by name.
	 * @param name the name
	 * @return the service; empty if the manifest doesn't have it
	 */
	public Optional<Service> findService(String name) {
		return this.service.stream().filter((entry) -> entry.name().equals(name)).findFirst();
	}

	/**
	 * Find an account by the digest of its bearer key.
	 * @param keyDigest the SHA-256 digest in lower-case hexadecimal digits
	 * @return the account; empty if no account has the key
	 */
	public Optional<Account> findAccountByDigest(String keyDigest) {
		return this.account.stream().filter((entry) -> entry.keyDigest().equals(keyDigest)).findFirst();
	}

	/**
	 * Find an operator by the digest of its bearer key.
	 * @param keyDigest the SHA-256 digest in lower-case hexadecimal digits
	 * @return the operator; empty if no operator has the key
	 */
	public Optional<Operator> findOperatorByDigest(String keyDigest) {
		return this.operator.stream().filter((entry) -> entry.keyDigest().equals(keyDigest)).findFirst();
	}

	/**
	 * Return the backend servers that run a version of a service.
	 * @param serviceName the name of the service
	 * @param version the version
	 * @return the servers, in the order of the manifest
	 */
	public List<BackendServer> servers(String serviceName, String version) {
		return this.server.stream()
			.filter((entry) -> entry.service().equals(serviceName) && entry.version().equals(version))
			.toList();
	}

	/**
	 * Return the region of a zone.
	 * @param zoneName the name of the zone
	 * @return the region, or the name of the zone if the manifest doesn't list the zone
	 */
	public String regionOf(String zoneName) {
		return this.zone.stream()
			.filter((entry) -> entry.name().equals(zoneName))
			.map(Zone::region)
			.findFirst()
			.orElse(zoneName);
	}

}
