package io.flamingogap.core.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.serving.AllowedRegions;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.core.serving.ServingConfig;

/**
 * Decides which entry nodes callers should connect to. Callers of a host with restricted
 * routes are directed to nodes of their own region and of regions that may process their
 * requests.
 */
public final class EntryNodePlacement {

	private final Map<String, String> regionsByZone;

	/**
	 * Create rules.
	 * @param regionsByZone the region of each zone
	 */
	public EntryNodePlacement(Map<String, String> regionsByZone) {
		this.regionsByZone = Map.copyOf(regionsByZone);
	}

	/**
	 * Return the addresses that a caller should connect to. Nodes in the caller's region
	 * or in a region that every restriction of the host allows come first, then nodes in
	 * a region that any of them allows. Other nodes are named only if the host has routes
	 * without a restriction.
	 * @param lookup what the caller asks for
	 * @param fleet the nodes
	 * @param own the current report of this node
	 * @param config the configuration in force; without one only nodes in the caller's
	 * region are named
	 * @return the addresses; empty if no node may be named
	 */
	public List<Address> addressesFor(Lookup lookup, FleetView fleet, NodeReport own, Optional<ServingConfig> config) {
		String callerRegion = lookup.region().isEmpty() ? this.regionsByZone.getOrDefault(lookup.zone(), "")
				: lookup.region();
		if (config.isEmpty()) {
			return select(lookup, fleet, own, callerRegion, AllowedRegions.only(Set.of()));
		}
		List<RouteRule> routes = config.get().routesOf(lookup.host());
		List<AllowedRegions> restrictions = findRestrictions(routes, config.get());
		if (restrictions.isEmpty()) {
			return fleet.callerAddressesFor(lookup.zone(), own);
		}
		List<Address> addresses = select(lookup, fleet, own, callerRegion, intersect(restrictions));
		if (addresses.isEmpty()) {
			addresses = select(lookup, fleet, own, callerRegion, unite(restrictions));
		}
		boolean hasUnrestrictedRoute = routes.stream().anyMatch((route) -> !route.allowedRegions().restricted());
		return (addresses.isEmpty() && hasUnrestrictedRoute) ? fleet.callerAddressesFor(lookup.zone(), own) : addresses;
	}

	// A lookup names no account, so the restrictions of all accounts count.
	private static List<AllowedRegions> findRestrictions(List<RouteRule> routes, ServingConfig config) {
		List<AllowedRegions> restrictions = new ArrayList<>();
		routes.forEach((route) -> restrictions.add(route.allowedRegions()));
		if (routes.stream().anyMatch((route) -> !route.isPublic())) {
			config.accounts().forEach((account) -> restrictions.add(account.allowedRegions()));
		}
		restrictions.removeIf((regions) -> !regions.restricted());
		return restrictions;
	}

	private List<Address> select(Lookup lookup, FleetView fleet, NodeReport own, String callerRegion,
			AllowedRegions allowed) {
		Predicate<NodeReport> isAllowed = (report) -> {
			String region = this.regionsByZone.getOrDefault(report.zone(), "");
			return !region.isEmpty() && (region.equals(callerRegion) || allowed.allows(region));
		};
		return fleet.callerAddressesFor(lookup.zone(), own, isAllowed);
	}

	private static AllowedRegions intersect(List<AllowedRegions> restrictions) {
		Set<String> regions = new HashSet<>(restrictions.get(0).regions());
		restrictions.forEach((restriction) -> regions.retainAll(restriction.regions()));
		return AllowedRegions.only(regions);
	}

	private static AllowedRegions unite(List<AllowedRegions> restrictions) {
		Set<String> regions = new HashSet<>();
		restrictions.forEach((restriction) -> regions.addAll(restriction.regions()));
		return AllowedRegions.only(regions);
	}

	/**
	 * A caller's lookup of the entry nodes.
	 *
	 * @param host the host that the caller wants to reach, in lower case
	 * @param region the caller's region; empty if it isn't stated
	 * @param zone the caller's availability zone; empty if it isn't stated
	 */
	public record Lookup(String host, String region, String zone) {
	}

}
