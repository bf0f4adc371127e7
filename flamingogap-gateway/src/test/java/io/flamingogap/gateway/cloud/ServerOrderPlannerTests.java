package io.flamingogap.gateway.cloud;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.fleet.ServerPlan;
import io.flamingogap.core.node.Address;
import io.flamingogap.core.servers.EvacuatedZones;
import io.flamingogap.core.servers.ServerRegistration;
import io.flamingogap.core.servers.ServerTable;
import io.flamingogap.core.serving.BackendService;
import io.flamingogap.core.serving.EngineProfile;
import io.flamingogap.core.serving.ListenerLimits;
import io.flamingogap.core.serving.ScaleBounds;
import io.flamingogap.core.serving.ServingConfig;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * Tests of {@link ServerOrderPlanner} against a cloud that accepts orders or has no
 * servers available.
 */
class ServerOrderPlannerTests {

	private static final int MAX_PER_ZONE = 8;

	private static final int SLOTS = 48;

	/**
	 * Three zones with two kinds of servers, each ordered at most twice in one round: to
	 * add missing servers and to release others.
	 */
	private static final int MAX_ORDERS = 12;

	private static final long BOOT_MILLIS = 4_000;

	private static final List<String> ZONES = List.of("cheap", "middle", "dear");

	private static final ServingConfig CONFIG = ServingConfig.of(1, List.of(),
			List.of(new BackendService("engine", 100, Optional.of(new EngineProfile(SLOTS, 600_000)), Optional
				.of(new ScaleBounds(1, MAX_PER_ZONE, 4, 0.18, Map.of("cheap", 0.8, "middle", 1.0, "dear", 1.25))))),
			List.of(), ListenerLimits.DEFAULT);

	private final ServerTable servers = new ServerTable();

	private boolean rolloutRunning;

	private long rolloutAgeMillis = 60_000;

	private final EvacuatedZones evacuatedZones = new EvacuatedZones(Set.copyOf(ZONES));

	private final ServerOrderPlanner planner = new ServerOrderPlanner(this.servers,
			(service, now) -> this.rolloutRunning ? OptionalLong.of(this.rolloutAgeMillis) : OptionalLong.empty(),
			false, this.evacuatedZones);

	private final List<ServerPlan> orders = new ArrayList<>();

	private long nowMillis = 100_000;

	private long revision;

	private double tokensPerSecond = 220_000;

	private Predicate<ServerPlan> isAvailable = (order) -> true;

	private final FleetServiceDemand demand = new FleetServiceDemand() {
		@Override
		public double unsharedPromptTokensPerSecond(String service) {
			return ServerOrderPlannerTests.this.tokensPerSecond;
		}

		@Override
		public double openRequests(String service) {
			return 0;
		}
	};

	private void register(String id, String zone, boolean reclaimable, boolean draining) {
		this.servers.register(new ServerRegistration(id, "engine", new Address("10.0.0.1", 80), zone, "v1", SLOTS,
				draining, reclaimable, 1, this.revision), ++this.revision);
	}

	private void register(String zone, boolean reclaimable, int number) {
		for (int i = 0; i < number; i++) {
			register(zone + reclaimable + i, zone, reclaimable, false);
		}
	}

	private void drainReclaimable(String zone, int number) {
		for (int i = 0; i < number; i++) {
			register(zone + true + i, zone, true, true);
		}
	}

	private List<ServerPlan> placeDueOrders() {
		List<ServerPlan> newOrders = new ArrayList<>();
		Optional<ServerPlan> next = nextOrder(this.planner);
		while (next.isPresent()) {
			assertThat("orders at one time", newOrders.size(), lessThanOrEqualTo(MAX_ORDERS));
			newOrders.add(next.get());
			this.planner.recordOutcome(next.get(),
					this.isAvailable.test(next.get()) ? CloudApi.Verdict.ACCEPTED : CloudApi.Verdict.NONE_AVAILABLE,
					this.nowMillis);
			next = nextOrder(this.planner);
		}
		this.orders.addAll(newOrders);
		return newOrders;
	}

	private static int orderedFullPriceServers(List<ServerPlan> orders) {
		return ZONES.stream()
			.mapToInt((zone) -> orders.stream()
				.filter((order) -> !order.reclaimable() && order.zone().equals(zone))
				.reduce((earlier, later) -> later)
				.map(ServerPlan::servers)
				.orElse(0))
			.sum();
	}

	private static List<ServerPlan> reclaimable(List<ServerPlan> orders) {
		return orders.stream().filter(ServerPlan::reclaimable).toList();
	}

	// An order for more servers than a zone had room for was cut to the room, and the
	// zone
	// lost servers that took requests: the rollout then completed a slow version, since
	// the
	// old one was slow as well.
	@Test
	void placesNoOrderThatStopsReadyServers() {
		ZONES.forEach((zone) -> register(zone, true, 4));
		ZONES.forEach((zone) -> register(zone, false, MAX_PER_ZONE - 1));
		this.rolloutRunning = true;
		this.tokensPerSecond = 2_000_000;
		assertThat(reclaimable(placeDueOrders()), is(empty()));
	}

	@Test
	void placesNoOrderBeforeTheServersOfANewVersionAreKnown() {
		ZONES.forEach((zone) -> register(zone, true, 4));
		this.rolloutRunning = true;
		this.rolloutAgeMillis = 2_900;
		this.tokensPerSecond = 2_000_000;
		assertThat(placeDueOrders(), is(empty()));
		this.rolloutAgeMillis = 3_000;
		assertThat(placeDueOrders(), is(not(empty())));
	}

	// The servers of a new version were released as surplus, and its rollout could
	// neither
	// complete nor be reverted on evidence.
	@Test
	void releasesNoServersWhileARolloutRuns() {
		ZONES.forEach((zone) -> register(zone, false, MAX_PER_ZONE));
		ZONES.forEach((zone) -> register(zone, true, MAX_PER_ZONE));
		this.rolloutRunning = true;
		assertThat(placeDueOrders(), is(empty()));
		this.rolloutRunning = false;
		assertThat(placeDueOrders(), is(not(empty())));
	}

	@Test
	void releasesFullPriceServersOnlyWhenReclaimableOnesTakeRequests() {
		ZONES.forEach((zone) -> register(zone, false, 4));
		assertThat(placeDueOrders().stream().filter((order) -> !order.reclaimable()).toList(), is(empty()));
		ZONES.forEach((zone) -> register(zone, true, 6));
		this.nowMillis += BOOT_MILLIS;
		assertThat(orderedFullPriceServers(placeDueOrders()), lessThanOrEqualTo(2));
	}

	@Test
	void ordersNoFullPriceServersInPlaceOfBootingOnes() {
		assertThat(orderedFullPriceServers(placeDueOrders()), lessThanOrEqualTo(2));
	}

	@Test
	void ordersUnavailableServersAgainOnlyAfterADelay() {
		this.isAvailable = (order) -> false;
		assertThat(placeDueOrders(), is(not(empty())));
		this.nowMillis += 1_000;
		assertThat(placeDueOrders(), is(empty()));
		this.nowMillis += 6_000;
		assertThat(placeDueOrders(), is(not(empty())));
	}

	@Test
	void ordersFullPriceServersInOtherZonesIfTheCheapestHasNone() {
		this.isAvailable = (order) -> !order.reclaimable() && !order.zone().equals("cheap");
		assertThat(placeDueOrders().stream()
			.filter((order) -> !order.reclaimable() && !order.zone().equals("cheap"))
			.mapToInt(ServerPlan::servers)
			.sum(), greaterThanOrEqualTo(6));
	}

	@Test
	void releasesFullPriceServersBeforeAnyDemandOnceReclaimableOnesAreGranted() {
		ServerOrderPlanner firstStartPlanner = new ServerOrderPlanner(this.servers,
				(service, now) -> OptionalLong.empty(), true, this.evacuatedZones);
		ZONES.forEach((zone) -> register(zone, false, 5));
		this.tokensPerSecond = 0;
		awaitRegistrations(firstStartPlanner);
		Optional<ServerPlan> next = nextOrder(firstStartPlanner);
		List<ServerPlan> newOrders = new ArrayList<>();
		while (next.isPresent()) {
			newOrders.add(next.get());
			firstStartPlanner.recordOutcome(next.get(), CloudApi.Verdict.ACCEPTED, this.nowMillis);
			next = nextOrder(firstStartPlanner);
		}
		assertThat(orderedFullPriceServers(newOrders), is(2));
		assertThat(newOrders.get(0).reclaimable(), is(true));
	}

	// The fleet was sized by the first servers that had registered, and the others were
	// released before the first callers came.
	@Test
	void keepsTheSizeOfTheOperatorsFleetUntilTheDemandIsKnown() {
		ServerOrderPlanner firstStartPlanner = new ServerOrderPlanner(this.servers,
				(service, now) -> OptionalLong.empty(), true, this.evacuatedZones);
		this.tokensPerSecond = 0;
		assertThat("order before any server has registered", nextOrder(firstStartPlanner).isPresent(), is(false));
		this.nowMillis += 700;
		register("cheap", false, 1);
		assertThat("order while servers register", nextOrder(firstStartPlanner).isPresent(), is(false));
		this.nowMillis += 1_500;
		ZONES.forEach((zone) -> register(zone, false, 8));
		awaitRegistrations(firstStartPlanner);
		Map<String, Integer> reclaimableByZone = new HashMap<>();
		Optional<ServerPlan> next = nextOrder(firstStartPlanner);
		while (next.isPresent()) {
			if (next.get().reclaimable()) {
				reclaimableByZone.put(next.get().zone(), next.get().servers());
			}
			firstStartPlanner.recordOutcome(next.get(), CloudApi.Verdict.ACCEPTED, this.nowMillis);
			next = nextOrder(firstStartPlanner);
		}
		assertThat(reclaimableByZone, is(Map.of("cheap", 8, "middle", 8, "dear", 8)));
	}

	@Test
	void ordersAtOnceWhenCallersComeWhileServersRegister() {
		ServerOrderPlanner firstStartPlanner = new ServerOrderPlanner(this.servers,
				(service, now) -> OptionalLong.empty(), true, this.evacuatedZones);
		register("cheap", false, 1);
		assertThat(nextOrder(firstStartPlanner).isPresent(), is(true));
	}

	private void awaitRegistrations(ServerOrderPlanner orderPlanner) {
		assertThat("order while servers may register", nextOrder(orderPlanner).isPresent(), is(false));
		this.nowMillis += 2_200;
	}

	private Optional<ServerPlan> nextOrder(ServerOrderPlanner orderPlanner) {
		return orderPlanner.nextOrder(CONFIG, this.demand, this.nowMillis);
	}

	@Test
	void evacuatedZoneIsReplacedByTheOthersAndReturns() {
		ZONES.forEach((zone) -> {
			register(zone, true, 4);
			register(zone, false, 1);
		});
		placeDueOrders();
		this.evacuatedZones.apply("cheap", true, 1);
		this.nowMillis += 100;
		List<ServerPlan> duringEvacuation = placeDueOrders();
		assertThat(duringEvacuation, not(empty()));
		assertThat(duringEvacuation.stream().map(ServerPlan::zone).toList(), everyItem(not(is("cheap"))));
		assertThat(duringEvacuation.stream().allMatch((order) -> order.servers() <= MAX_PER_ZONE), is(true));
		this.nowMillis += 60_000;
		List<ServerPlan> later = placeDueOrders();
		assertThat(later.stream().map(ServerPlan::zone).toList(), everyItem(not(is("cheap"))));
		this.evacuatedZones.apply("cheap", false, 2);
		drainReclaimable("cheap", 4);
		assertThat(placeDueOrders().stream().anyMatch((order) -> order.zone().equals("cheap")), is(true));
	}

	@Test
	void replacementsStayUntilTheReturnedZoneHasServedForAWhile() {
		ZONES.forEach((zone) -> {
			register(zone, true, 4);
			register(zone, false, 1);
		});
		placeDueOrders();
		this.evacuatedZones.apply("cheap", true, 1);
		this.nowMillis += 100;
		placeDueOrders().forEach((order) -> register(order.zone(), order.reclaimable(), order.servers()));
		this.nowMillis += 20_000;
		placeDueOrders();
		this.evacuatedZones.apply("cheap", false, 2);
		this.nowMillis += 100;
		assertThat(placeDueOrders().stream().map(ServerPlan::zone).toList(), everyItem(is("cheap")));
		this.nowMillis += 11_000;
		assertThat(placeDueOrders().stream().map(ServerPlan::zone).toList(), everyItem(is("cheap")));
		this.nowMillis += 2_000;
		assertThat(placeDueOrders().stream().map(ServerPlan::zone).toList(), hasItem(not("cheap")));
	}

	@Test
	void nothingIsOrderedWhileAllZonesAreEvacuated() {
		ZONES.forEach((zone) -> register(zone, true, 4));
		ZONES.forEach((zone) -> this.evacuatedZones.apply(zone, true, 1));
		assertThat(placeDueOrders(), empty());
	}

	@Nested
	class WhenAZoneIsReclaimedWithoutReplacement {

		@BeforeEach
		void reclaimCheapestZone() {
			register("cheap", false, 2);
			ZONES.forEach((zone) -> register(zone, true, 6));
			placeDueOrders();
			ServerOrderPlannerTests.this.isAvailable = (order) -> !order.reclaimable();
			ServerOrderPlannerTests.this.nowMillis += 1_000;
			drainReclaimable("cheap", 6);
		}

		@Test
		void ordersReplacementsDespiteARecentOrder() {
			List<ServerPlan> newOrders = placeDueOrders();
			assertThat(reclaimable(newOrders), is(not(empty())));
		}

		@Test
		void ordersFullPriceServersInAdvanceOfTheLossOfAnotherZone() {
			assertThat(orderedFullPriceServers(placeDueOrders()), greaterThanOrEqualTo(6));
		}

		@Test
		void keepsEveryReadyReclaimableServer() {
			ServerOrderPlannerTests.this.tokensPerSecond = 900_000;
			List<ServerPlan> newOrders = placeDueOrders();
			for (int i = 0; i < 20; i++) {
				ServerOrderPlannerTests.this.nowMillis += 1_000;
				newOrders.addAll(placeDueOrders());
			}
			assertThat(reclaimable(newOrders).stream()
				.filter((order) -> !order.zone().equals("cheap"))
				.map(ServerPlan::servers)
				.toList(), everyItem(greaterThanOrEqualTo(6)));
		}

		@Test
		void keepsFullPriceServersUntilReclaimableOnesAreAvailableAgain() {
			placeDueOrders();
			register("cheap", false, 8);
			for (int i = 0; i < 12; i++) {
				ServerOrderPlannerTests.this.nowMillis += 1_000;
				assertThat(fullPriceReleases(placeDueOrders()), is(empty()));
			}
			ServerOrderPlannerTests.this.isAvailable = (order) -> true;
			ServerOrderPlannerTests.this.nowMillis += 6_000;
			assertThat(fullPriceReleases(placeDueOrders()), is(not(empty())));
		}

		private List<ServerPlan> fullPriceReleases(List<ServerPlan> newOrders) {
			return newOrders.stream().filter((order) -> !order.reclaimable() && order.servers() < 6).toList();
		}

	}

}
