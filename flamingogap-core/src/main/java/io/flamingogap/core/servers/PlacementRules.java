package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import io.flamingogap.core.serving.AllowedRegions;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.core.serving.ServingConfig;

/**
 * Decides which servers a request may be sent to: those in the regions that its route and
 * its client account allow, in zones that aren't evacuated.
 */
public final class PlacementRules {

	private final Map<String, String> regionsByZone;

	private final EvacuatedZones evacuatedZones;

	/**
	 * Create rules.
	 * @param regionsByZone the region of each zone; a zone without an entry is in none of
	 * the regions that a restriction allows
	 * @param evacuatedZones the zones whose servers get nothing new
	 */
	public PlacementRules(Map<String, String> regionsByZone, EvacuatedZones evacuatedZones) {
		this.regionsByZone = Map.copyOf(regionsByZone);
		this.evacuatedZones = evacuatedZones;
	}

	/**
	 * Return the servers that a request may be sent to now. A change of the configuration
	 * applies to requests that were admitted before; a route or account that it no longer
	 * contains keeps its restriction.
	 * @param current the configuration in force
	 * @param admittedRoute the route of the request when it was admitted
	 * @param admittedAccount the client account of the request when it was admitted
	 * @return accepts the servers; decides by the evacuations at the time of the test
	 */
	public Predicate<KnownServer> serversFor(Optional<ServingConfig> current, RouteRule admittedRoute,
			Optional<ClientAccount> admittedAccount) {
		AllowedRegions ofRoute = current.flatMap((config) -> config.findRouteNamed(admittedRoute.name()))
			.orElse(admittedRoute)
			.allowedRegions();
		AllowedRegions ofAccount = admittedAccount
			.map((account) -> current.flatMap((config) -> config.findAccountNamed(account.name())).orElse(account))
			.map(ClientAccount::allowedRegions)
			.orElse(AllowedRegions.ALL);
		return (server) -> {
			String zone = server.registration().zone();
			@Nullable String region = this.regionsByZone.get(zone);
			return !this.evacuatedZones.contains(zone) && ofRoute.allows(region) && ofAccount.allows(region);
		};
	}

	/**
	 * Find the restrictions that can't be followed as configured, because the list is
	 * faulty or names regions without a zone. What remains of such a list applies.
	 * @param config the configuration
	 * @return a description for each faulty list
	 */
	public List<String> findFaults(ServingConfig config) {
		List<String> faults = new ArrayList<>();
		config.routes().forEach((route) -> addFault(faults, "route " + route.name(), route.allowedRegions()));
		config.accounts().forEach((account) -> addFault(faults, "account " + account.name(), account.allowedRegions()));
		return faults;
	}

	private void addFault(List<String> faults, String owner, AllowedRegions allowed) {
		Set<String> unknown = new TreeSet<>(allowed.regions());
		unknown.removeAll(this.regionsByZone.values());
		if (!allowed.fault().isEmpty()) {
			faults.add(owner + ": " + allowed.fault());
		}
		else if (!unknown.isEmpty()) {
			faults.add(owner + ": no zone is in the allowed regions " + unknown);
		}
	}

	/**
	 * Return whether a zone is evacuated.
	 * @param zone the zone
	 * @return {@code true} if its servers get nothing new
	 */
	public boolean isEvacuated(String zone) {
		return this.evacuatedZones.contains(zone);
	}

}
