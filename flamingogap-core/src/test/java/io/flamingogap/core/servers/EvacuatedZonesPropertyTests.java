package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Collectors;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Property tests of {@link EvacuatedZones}: records that arrive more than once, late or
 * in another order, and complete listings between them, of which some are old.
 */
class EvacuatedZonesPropertyTests {

	private static final List<String> ZONES = List.of("z1", "z2", "z3");

	private static final int STEPS = 40;

	private static final long HOLD_MILLIS = 10_000;

	@Property(tries = 10_000, seed = "20261206")
	void newestRecordOfEachZoneDecides(@ForAll @LongRange(max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		EvacuatedZones zones = new EvacuatedZones(Set.copyOf(ZONES));
		List<Order> log = new ArrayList<>();
		for (int step = 0; step < STEPS; step++) {
			log.add(new Order(ZONES.get(random.nextInt(ZONES.size())), random.nextBoolean()));
			int newest = log.size() - 1;
			if (random.nextInt(4) == 0) {
				// The store dropped the record; only a listing tells of it.
				list(zones, log, log.size());
			}
			else {
				apply(zones, log, newest);
			}
			apply(zones, log, random.nextInt(log.size()));
			if (random.nextInt(4) == 0) {
				list(zones, log, random.nextInt(log.size() + 1));
			}
			assertThat(zones.zones(), is(evacuatedAt(log, log.size())));
		}
	}

	@Property(tries = 2_000, seed = "20261206")
	void orderOfArrivalDoesNotMatter(@ForAll @LongRange(max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<Order> log = new ArrayList<>();
		List<Integer> arrivals = new ArrayList<>();
		for (int offset = 0; offset < STEPS; offset++) {
			log.add(new Order(ZONES.get(random.nextInt(ZONES.size())), random.nextBoolean()));
			arrivals.add(random.nextInt(arrivals.size() + 1), offset);
			arrivals.add(random.nextInt(arrivals.size() + 1), offset);
		}
		EvacuatedZones zones = new EvacuatedZones(Set.copyOf(ZONES));
		arrivals.forEach((offset) -> apply(zones, log, offset));
		assertThat(zones.zones(), is(evacuatedAt(log, log.size())));
	}

	// After a return of the store, zones were evacuated as an earlier copy said, not as
	// the operator had ordered last.
	@Property(tries = 10_000, seed = "20261207")
	void lastOrderThatIsKnownStaysInForceWhenTheStoreReturns(@ForAll @LongRange(max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		EvacuatedZones zones = new EvacuatedZones(Set.copyOf(ZONES));
		List<Order> log = new ArrayList<>();
		Map<String, Order> lastOrders = new HashMap<>();
		Set<String> lostZones = new TreeSet<>();
		Set<String> zonesWithUnreadOrders = new TreeSet<>();
		int nextOffset = 0;
		long nowMillis = 0;
		long heldUntilMillis = 0;
		for (int step = 0; step < STEPS; step++) {
			nowMillis += random.nextInt(1_000);
			if (random.nextInt(2) == 0) {
				Order order = new Order(ZONES.get(random.nextInt(ZONES.size())), random.nextBoolean());
				log.add(order);
				lastOrders.put(order.zone(), order);
				lostZones.remove(order.zone());
				zonesWithUnreadOrders.add(order.zone());
			}
			if (random.nextInt(6) == 0) {
				List<Order> lost = log.subList(Math.max(0, log.size() - random.nextInt(6)), log.size());
				lost.forEach((order) -> lostZones.add(order.zone()));
				lost.clear();
				heldUntilMillis = nowMillis + HOLD_MILLIS;
				zones.forgetOffsets(heldUntilMillis);
				list(zones, log, log.size());
				nextOffset = log.size();
			}
			boolean allWrittenAgain = step == STEPS - 1 || nowMillis >= heldUntilMillis;
			if (allWrittenAgain || random.nextInt(4) == 0) {
				lostZones.forEach((zone) -> log.add(lastOrders.get(zone)));
				lostZones.clear();
			}
			while (nextOffset < log.size() && (allWrittenAgain || random.nextInt(3) > 0)) {
				Order order = log.get(nextOffset);
				apply(zones, log, nextOffset++);
				if (order == lastOrders.get(order.zone())) {
					zonesWithUnreadOrders.remove(order.zone());
				}
			}
			zones.applyHeld(nowMillis);
			lastOrders.forEach((zone, order) -> {
				if (!zonesWithUnreadOrders.contains(zone)) {
					assertThat(zones.contains(zone), is(order.isEvacuated()));
				}
			});
		}
		zones.applyHeld(heldUntilMillis);
		assertThat(zones.zones(), is(evacuatedAt(log, log.size())));
	}

	private static void apply(EvacuatedZones zones, List<Order> log, int offset) {
		zones.apply(log.get(offset).zone(), log.get(offset).isEvacuated(), offset);
	}

	private static void list(EvacuatedZones zones, List<Order> log, int end) {
		Set<String> listed = evacuatedAt(log, end);
		for (int offset = 0; offset < end; offset++) {
			Order order = log.get(offset);
			if (order.isEvacuated() && isNewest(log, offset, end)) {
				apply(zones, log, offset);
			}
		}
		zones.retain(listed, end);
	}

	private static boolean isNewest(List<Order> log, int offset, int end) {
		return log.subList(offset + 1, end).stream().noneMatch((later) -> later.zone().equals(log.get(offset).zone()));
	}

	private static Set<String> evacuatedAt(List<Order> log, int end) {
		Map<String, Boolean> newest = new HashMap<>();
		log.subList(0, end).forEach((order) -> newest.put(order.zone(), order.isEvacuated()));
		return newest.entrySet()
			.stream()
			.filter(Map.Entry::getValue)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	private record Order(String zone, boolean isEvacuated) {
	}

}
