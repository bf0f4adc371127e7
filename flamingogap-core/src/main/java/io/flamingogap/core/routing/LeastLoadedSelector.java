package io.flamingogap.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.manifest.Manifest;

/**
 * Selects the backend server with the least estimated load for a request.
 */
public final class LeastLoadedSelector {

	/** Load added for a server in another zone of the region, in open requests. */
	private static final int OTHER_ZONE_COST = 1;

	/** Load added for a server in another region, in open requests. */
	private static final int OTHER_REGION_COST = 4;

	private LeastLoadedSelector() {
	}

	/**
	 * Select the server with the least estimated load, to which some load is added for a
	 * distant server. A server that could not be reached a short time ago is selected
	 * only if there is no other.
	 * @param manifest the current manifest
	 * @param query the servers that may take the request
	 * @param ownZone the zone of the entry node
	 * @param loads the load estimates
	 * @param leaving the servers that get no new requests
	 * @param nowMillis the current time in milliseconds
	 * @return the server, or empty if none can take the request
	 */
	public static Optional<BackendServer> choose(Manifest manifest, ServerQuery query, String ownZone,
			ServerLoadTable loads, LeavingServers leaving, long nowMillis) {
		List<BackendServer> eligible = manifest.servers(query.service(), query.version())
			.stream()
			.filter((server) -> query.allows(server) && !leaving.isLeaving(server.name(), nowMillis))
			.toList();
		Optional<BackendServer> preferred = findLeastLoaded(
				eligible.stream().filter((server) -> !loads.isAvoided(server.name(), nowMillis)).toList(), manifest,
				ownZone, loads);
		return preferred.isPresent() ? preferred : findLeastLoaded(eligible, manifest, ownZone, loads);
	}

	private static Optional<BackendServer> findLeastLoaded(List<BackendServer> servers, Manifest manifest,
			String ownZone, ServerLoadTable loads) {
		return servers.stream()
			.min(Comparator.comparingLong(
					(server) -> loads.estimate(server.name()) + distanceCost(manifest, ownZone, server.zone())));
	}

	private static long distanceCost(Manifest manifest, String ownZone, String zone) {
		if (zone.equals(ownZone)) {
			return 0;
		}
		boolean sameRegion = manifest.regionOf(zone).equals(manifest.regionOf(ownZone));
		return sameRegion ? OTHER_ZONE_COST : OTHER_REGION_COST;
	}

}
