package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import io.flamingogap.core.node.Address;
import io.flamingogap.core.serving.AccountQuota;
import io.flamingogap.core.serving.AllowedRegions;
import io.flamingogap.core.serving.ClientAccount;
import io.flamingogap.core.serving.ListenerLimits;
import io.flamingogap.core.serving.RequestKind;
import io.flamingogap.core.serving.RouteRule;
import io.flamingogap.core.serving.ServingConfig;
import io.flamingogap.core.serving.WeightedService;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Property tests of {@link PlacementRules}: restrictions of routes and accounts that
 * change between the dispatches of a request, with evacuations.
 */
class PlacementRulesPropertyTests {

	private static final Map<String, String> REGIONS = Map.of("a1", "a", "a2", "a", "b1", "b", "b2", "b", "c1", "c");

	/** A zone of the servers that the platform's list of zones doesn't contain. */
	private static final String UNLISTED_ZONE = "x1";

	private static final int MAX_DISPATCHES = 6;

	@Property(tries = 5_000, seed = "20261206")
	void everyDispatchObeysWhatIsInForceThen(@ForAll @LongRange(max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		EvacuatedZones evacuated = new EvacuatedZones(REGIONS.keySet());
		PlacementRules rules = new PlacementRules(REGIONS, evacuated);
		ServerTable servers = new ServerTable();
		List<String> zones = new ArrayList<>(new TreeSet<>(REGIONS.keySet()));
		zones.add(UNLISTED_ZONE);
		for (int i = 0; i < 8; i++) {
			servers.register(new ServerRegistration("i-" + i, "desk", new Address("10.0.0.1", 80 + i),
					zones.get(random.nextInt(zones.size())), "v1", 4, false, false, 1, 1), i);
		}
		ServerSelector selector = new ServerSelector(new NodeLocality("a1", REGIONS));
		AllowedRegions ofRoute = regions(random);
		AllowedRegions ofAccount = regions(random);
		RouteRule admittedRoute = route(ofRoute);
		Optional<ClientAccount> admittedAccount = (random.nextInt(4) == 0) ? Optional.empty()
				: Optional.of(account(ofAccount));
		Optional<ServingConfig> current = Optional.of(config(1, List.of(admittedRoute), admittedAccount.stream()));
		Set<String> tried = new HashSet<>();
		for (int dispatch = 0; dispatch < MAX_DISPATCHES; dispatch++) {
			if (random.nextBoolean()) {
				evacuated.apply(zones.get(random.nextInt(zones.size())), random.nextBoolean(), dispatch);
			}
			if (random.nextInt(3) == 0) {
				boolean keepsRoute = random.nextInt(4) > 0;
				boolean keepsAccount = random.nextInt(4) > 0;
				ofRoute = keepsRoute ? regions(random) : admittedRoute.allowedRegions();
				ofAccount = keepsAccount ? regions(random)
						: admittedAccount.map(ClientAccount::allowedRegions).orElse(ofAccount);
				current = Optional.of(config(2 + dispatch, keepsRoute ? List.of(route(ofRoute)) : List.of(),
						keepsAccount ? Stream.of(account(ofAccount)) : Stream.empty()));
			}
			AllowedRegions boundByRoute = ofRoute;
			AllowedRegions boundByAccount = admittedAccount.isPresent() ? ofAccount : AllowedRegions.ALL;
			Optional<KnownServer> chosen = selector
				.choose(servers.ofService("desk"), new RequestNeeds(PromptMetadata.NONE, 0, true),
						servers.paceOf("desk"),
						rules.serversFor(current, admittedRoute, admittedAccount)
							.and((server) -> !tried.contains(server.registration().id())),
						dispatch)
				.map(ServerChoice::server);
			boolean anyAllowed = servers.ofService("desk")
				.stream()
				.anyMatch((server) -> !tried.contains(server.registration().id())
						&& isAllowed(server, evacuated, boundByRoute, boundByAccount));
			assertThat(chosen.isPresent(), is(anyAllowed));
			chosen.ifPresent((server) -> {
				assertThat(isAllowed(server, evacuated, boundByRoute, boundByAccount), is(true));
				tried.add(server.registration().id());
			});
		}
	}

	private static boolean isAllowed(KnownServer server, EvacuatedZones evacuated, AllowedRegions ofRoute,
			AllowedRegions ofAccount) {
		String zone = server.registration().zone();
		String region = REGIONS.getOrDefault(zone, "unknown");
		return !evacuated.zones().contains(zone) && (!ofRoute.restricted() || ofRoute.regions().contains(region))
				&& (!ofAccount.restricted() || ofAccount.regions().contains(region));
	}

	private static AllowedRegions regions(SplittableRandom random) {
		if (random.nextInt(3) == 0) {
			return AllowedRegions.ALL;
		}
		Set<String> regions = new HashSet<>();
		for (String region : List.of("a", "b", "c", "nowhere")) {
			if (random.nextInt(3) == 0) {
				regions.add(region);
			}
		}
		return AllowedRegions.only(regions);
	}

	private static ServingConfig config(long version, List<RouteRule> routes, Stream<ClientAccount> accounts) {
		return ServingConfig.of(version, routes, List.of(), accounts.toList(), ListenerLimits.DEFAULT);
	}

	private static RouteRule route(AllowedRegions regions) {
		return new RouteRule("look", "desk.example", "/", RequestKind.IDEMPOTENT, 1_000, 100, 0,
				List.of(new WeightedService("desk", 1)), 2, false, false, false, regions);
	}

	private static ClientAccount account(AllowedRegions regions) {
		return new ClientAccount("growers", List.of("k"), OptionalInt.empty(), new AccountQuota(0, 0, false, 0),
				regions);
	}

}
