package io.flamingogap.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.manifest.Manifest;

/**
 * Chooses a backend server for a request.
 */
public final class LeastLoadedSelector {

	/** Work that a dispatch to another zone of the region is taken to add. */
	private static final int OTHER_ZONE_REQUESTS = 1;

	/** Work that a dispatch to another region is taken to add. */
	private static final int OTHER_REGION_REQUESTS = 4;

	private LeastLoadedSelector() {
	}

	/**
	 * Choose the server with the least estimated work, the links to it included.
	 * @param manifest the manifest in force
	 * @param query which servers may take the request
	 * @param ownZone the zone of the entry node
	 * @param loads the known loads
	 * @param leaving the servers that get no new work
	 * @param nowMillis the present time
	 * @return the server, if one can take the request
	 */
	public static Optional<BackendServer> choose(Manifest manifest, ServerQuery query, String ownZone,
			ServerLoadTable loads, LeavingServers leaving, long nowMillis) {
		List<BackendServer> ready = manifest.servers(query.service(), query.version())
			.stream()
			.filter((server) -> query.allows(server) && !leaving.isLeaving(server.name(), nowMillis))
			.toList();
		Optional<BackendServer> preferred = least(
				ready.stream().filter((server) -> !loads.isAvoided(server.name(), nowMillis)).toList(), manifest,
				ownZone, loads);
		return preferred.isPresent() ? preferred : least(ready, manifest, ownZone, loads);
	}

	private static Optional<BackendServer> least(List<BackendServer> servers, Manifest manifest, String ownZone,
			ServerLoadTable loads) {
		return servers.stream()
			.min(Comparator
				.comparingLong((server) -> loads.estimate(server.name()) + linkCost(manifest, ownZone, server.zone())));
	}

	private static long linkCost(Manifest manifest, String ownZone, String zone) {
		if (zone.equals(ownZone)) {
			return 0;
		}
		boolean sameRegion = manifest.regionOf(zone).equals(manifest.regionOf(ownZone));
		return sameRegion ? OTHER_ZONE_REQUESTS : OTHER_REGION_REQUESTS;
	}

}
