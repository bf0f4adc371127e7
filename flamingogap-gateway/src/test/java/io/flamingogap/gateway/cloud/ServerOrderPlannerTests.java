package io.flamingogap.gateway.cloud;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.fleet.ServerPlan;
import io.flamingogap.core.node.Address;
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
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * The orders of servers, against a cloud that grants or refuses them.
 */
class ServerOrderPlannerTests {

	private static final int MOST = 8;

	private static final int SLOTS = 48;

	/** Each zone and kind may be ordered twice at a moment: what is missing, and less. */
	private static final int MOST_ORDERS = 12;

	private static final long BOOT_MILLIS = 4_000;

	private static final List<String> ZONES = List.of("cheap", "middle", "dear");

	private static final ServingConfig CONFIG = ServingConfig.of(1, List.of(),
			List.of(new BackendService("engine", 100, Optional.of(new EngineProfile(SLOTS, 600_000)),
					Optional.of(new ScaleBounds(1, MOST, 4, 0.18, Map.of("cheap", 0.8, "middle", 1.0, "dear", 1.25))))),
			List.of(), ListenerLimits.DEFAULT);

	private final ServerTable servers = new ServerTable();

	private final ServerOrderPlanner duty = new ServerOrderPlanner(this.servers, false);

	private final List<ServerPlan> orders = new ArrayList<>();

	private long nowMillis = 100_000;

	private long revision;

	private double tokensPerSecond = 220_000;

	private Predicate<ServerPlan> granted = (order) -> true;

	private void register(String id, String zone, boolean reclaimable, boolean draining) {
		this.servers.register(new ServerRegistration(id, "engine", new Address("10.0.0.1", 80), zone, "v1", SLOTS,
				draining, reclaimable, 1), ++this.revision);
	}

	private void register(String zone, boolean reclaimable, int number) {
		for (int i = 0; i < number; i++) {
			register(zone + reclaimable + i, zone, reclaimable, false);
		}
	}

	private void reclaim(String zone, int number) {
		for (int i = 0; i < number; i++) {
			register(zone + true + i, zone, true, true);
		}
	}

	private List<ServerPlan> orderAllDue() {
		List<ServerPlan> made = new ArrayList<>();
		FleetServiceDemand demand = new FleetServiceDemand() {
			@Override
			public double promptTokensPerSecond(String service) {
				return ServerOrderPlannerTests.this.tokensPerSecond;
			}

			@Override
			public double openRequests(String service) {
				return 0;
			}
		};
		Optional<ServerPlan> due = this.duty.nextDue(CONFIG, demand, this.nowMillis);
		while (due.isPresent()) {
			assertThat("orders at one moment", made.size(), lessThanOrEqualTo(MOST_ORDERS));
			made.add(due.get());
			this.duty.record(due.get(),
					this.granted.test(due.get()) ? CloudApi.Verdict.ACCEPTED : CloudApi.Verdict.NONE_AVAILABLE,
					this.nowMillis);
			due = this.duty.nextDue(CONFIG, demand, this.nowMillis);
		}
		this.orders.addAll(made);
		return made;
	}

	private static int fullPrice(List<ServerPlan> orders) {
		return ZONES.stream()
			.mapToInt((zone) -> orders.stream()
				.filter((order) -> !order.reclaimable() && order.zone().equals(zone))
				.reduce((first, second) -> second)
				.map(ServerPlan::servers)
				.orElse(0))
			.sum();
	}

	private static List<ServerPlan> reclaimable(List<ServerPlan> orders) {
		return orders.stream().filter(ServerPlan::reclaimable).toList();
	}

	@Test
	void fullPriceServersAreGivenBackOnlyWhenReclaimableOnesTakeRequests() {
		ZONES.forEach((zone) -> register(zone, false, 4));
		assertThat(orderAllDue().stream().filter((order) -> !order.reclaimable()).toList(), is(empty()));
		ZONES.forEach((zone) -> register(zone, true, 6));
		this.nowMillis += BOOT_MILLIS;
		assertThat(fullPrice(orderAllDue()), lessThanOrEqualTo(2));
	}

	@Test
	void serversThatAreBootingAreNotOrderedAtFullPriceBesides() {
		assertThat(fullPrice(orderAllDue()), lessThanOrEqualTo(2));
	}

	@Test
	void whatTheCloudHasNoneOfIsAskedForAgainOnlyAfterAWhile() {
		this.granted = (order) -> false;
		assertThat(orderAllDue(), is(not(empty())));
		this.nowMillis += 1_000;
		assertThat(orderAllDue(), is(empty()));
		this.nowMillis += 6_000;
		assertThat(orderAllDue(), is(not(empty())));
	}

	@Test
	void fullPriceServersAreOrderedElsewhereIfTheCheapestZoneHasNone() {
		this.granted = (order) -> !order.reclaimable() && !order.zone().equals("cheap");
		assertThat(orderAllDue().stream()
			.filter((order) -> !order.reclaimable() && !order.zone().equals("cheap"))
			.mapToInt(ServerPlan::servers)
			.sum(), greaterThanOrEqualTo(6));
	}

	@Test
	void beforeAnybodyAsksFullPriceServersAreGivenBackOnceOthersAreGranted() {
		ServerOrderPlanner first = new ServerOrderPlanner(this.servers, true);
		ZONES.forEach((zone) -> register(zone, false, 5));
		FleetServiceDemand nobody = new FleetServiceDemand() {
			@Override
			public double promptTokensPerSecond(String service) {
				return 0;
			}

			@Override
			public double openRequests(String service) {
				return 0;
			}
		};
		Optional<ServerPlan> due = first.nextDue(CONFIG, nobody, this.nowMillis);
		List<ServerPlan> made = new ArrayList<>();
		while (due.isPresent()) {
			made.add(due.get());
			first.record(due.get(), CloudApi.Verdict.ACCEPTED, this.nowMillis);
			due = first.nextDue(CONFIG, nobody, this.nowMillis);
		}
		assertThat(fullPrice(made), is(2));
		assertThat(made.get(0).reclaimable(), is(true));
	}

	@Nested
	class WhenAZoneIsReclaimedAndNoneAreToBeHad {

		@BeforeEach
		void reclaimTheCheapZone() {
			register("cheap", false, 2);
			ZONES.forEach((zone) -> register(zone, true, 6));
			orderAllDue();
			ServerOrderPlannerTests.this.granted = (order) -> !order.reclaimable();
			ServerOrderPlannerTests.this.nowMillis += 1_000;
			reclaim("cheap", 6);
		}

		@Test
		void theLossIsNoticedAlthoughAnOrderIsRecent() {
			List<ServerPlan> made = orderAllDue();
			assertThat(reclaimable(made), is(not(empty())));
		}

		@Test
		void fullPriceServersForTheNextZoneAreOrderedAtOnce() {
			assertThat(fullPrice(orderAllDue()), greaterThanOrEqualTo(6));
		}

		@Test
		void noReclaimableServerThatIsThereIsGivenBack() {
			ServerOrderPlannerTests.this.tokensPerSecond = 900_000;
			List<ServerPlan> made = orderAllDue();
			for (int i = 0; i < 20; i++) {
				ServerOrderPlannerTests.this.nowMillis += 1_000;
				made.addAll(orderAllDue());
			}
			assertThat(reclaimable(made).stream()
				.filter((order) -> !order.zone().equals("cheap"))
				.map(ServerPlan::servers)
				.toList(), everyItem(greaterThanOrEqualTo(6)));
		}

		@Test
		void fullPriceServersStayUntilOthersAreToBeHadAgain() {
			orderAllDue();
			register("cheap", false, 8);
			for (int i = 0; i < 12; i++) {
				ServerOrderPlannerTests.this.nowMillis += 1_000;
				assertThat(fullPriceShrinkage(orderAllDue()), is(empty()));
			}
			ServerOrderPlannerTests.this.granted = (order) -> true;
			ServerOrderPlannerTests.this.nowMillis += 6_000;
			assertThat(fullPriceShrinkage(orderAllDue()), is(not(empty())));
		}

		private List<ServerPlan> fullPriceShrinkage(List<ServerPlan> made) {
			return made.stream().filter((order) -> !order.reclaimable() && order.servers() < 6).toList();
		}

	}

}
