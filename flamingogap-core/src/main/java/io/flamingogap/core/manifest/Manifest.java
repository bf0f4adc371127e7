package io.flamingogap.core.manifest;

import java.util.List;
import java.util.Optional;

import io.flamingogap.core.toml.Default;

/**
 * Everything that operators configure. A manifest is whole: it replaces the one before.
 *
 * @param zone the availability zones
 * @param service the services
 * @param server the backend servers
 * @param account the client accounts
 * @param operator the operators
 * @param rollout the moves between versions that are under way
 */
public record Manifest(List<Zone> zone, List<Service> service, List<BackendServer> server, List<Account> account,
		List<Operator> operator, @Default("") List<Rollout> rollout) {

	private static final Manifest EMPTY = new Manifest(List.of(), List.of(), List.of(), List.of(), List.of(),
			List.of());

	/**
	 * Return the manifest in force before any was published.
	 * @return a manifest without entries
	 */
	public static Manifest empty() {
		return EMPTY;
	}

	/**
	 * Find a service by name.
	 * @param name the name
	 * @return the service, if there is one
	 */
	public Optional<Service> findService(String name) {
		return this.service.stream().filter((candidate) -> candidate.name().equals(name)).findFirst();
	}

	/**
	 * Find an account by the digest of its bearer key.
	 * @param keyDigest the SHA-256 digest
	 * @return the account, if there is one
	 */
	public Optional<Account> findAccountByDigest(String keyDigest) {
		return this.account.stream().filter((candidate) -> candidate.keyDigest().equals(keyDigest)).findFirst();
	}

	/**
	 * Find an operator by the digest of their bearer key.
	 * @param keyDigest the SHA-256 digest
	 * @return the operator, if there is one
	 */
	public Optional<Operator> findOperatorByDigest(String keyDigest) {
		return this.operator.stream().filter((candidate) -> candidate.keyDigest().equals(keyDigest)).findFirst();
	}

	/**
	 * Return the backend servers of a service's version.
	 * @param serviceName the service
	 * @param version the version
	 * @return the servers, in the manifest's order
	 */
	public List<BackendServer> servers(String serviceName, String version) {
		return this.server.stream()
			.filter((candidate) -> candidate.service().equals(serviceName) && candidate.version().equals(version))
			.toList();
	}

	/**
	 * Return the region of a zone.
	 * @param zoneName the zone
	 * @return the region, or the zone's own name if the manifest doesn't list it
	 */
	public String regionOf(String zoneName) {
		return this.zone.stream()
			.filter((candidate) -> candidate.name().equals(zoneName))
			.map(Zone::region)
			.findFirst()
			.orElse(zoneName);
	}

}
