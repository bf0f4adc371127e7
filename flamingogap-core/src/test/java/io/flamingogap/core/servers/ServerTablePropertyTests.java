package io.flamingogap.core.servers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Property tests of {@link ServerTable}: records that arrive more than once, and complete
 * listings between them.
 */
class ServerTablePropertyTests {

	private static final List<String> IDS = List.of("a", "b", "c");

	/**
	 * State of a server in a record.
	 */
	private enum State {

		READY, DRAINING, ENDED

	}

	private static void apply(ServerTable table, String id, State state, long offset) {
		if (state == State.ENDED) {
			table.unregister(id, offset, Long.MIN_VALUE, offset);
		}
		else {
			table.register(new ServerRegistration(id, "desk", new Address("10.0.0.1", 80), "z1", "v1", 4,
					state == State.DRAINING, false, 1, offset), offset);
		}
	}

	@Property(tries = 10_000, seed = "20261204")
	void newestRecordOfEachServerDecidesAndADrainingServerTakesNothing(@ForAll @LongRange(max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		State[] log = new State[24];
		String[] ids = new String[log.length];
		for (int i = 0; i < log.length; i++) {
			ids[i] = IDS.get(random.nextInt(IDS.size()));
			log[i] = State.values()[random.nextInt(State.values().length)];
		}
		ServerTable table = new ServerTable();
		Map<String, State> newest = new HashMap<>();
		int read = 0;
		while (read < log.length) {
			if (read > 0 && random.nextInt(6) == 0) {
				applyListing(table, newest, read - 1);
				continue;
			}
			apply(table, ids[read], log[read], read);
			newest.put(ids[read], log[read]);
			if (random.nextInt(3) == 0) {
				apply(table, ids[read], log[read], read);
			}
			repeatOlderRecord(table, ids, log, random.nextInt(read + 1), newest);
			assertTakesRequests(table, newest);
			read++;
		}
	}

	/**
	 * Apply a record again that another reader may still have. The records of a server
	 * that has ended are forgotten, and readers never go back before its end.
	 */
	private static void repeatOlderRecord(ServerTable table, String[] ids, State[] log, int offset,
			Map<String, State> newest) {
		if (newest.get(ids[offset]) != State.ENDED) {
			apply(table, ids[offset], log[offset], offset);
		}
	}

	private static void applyListing(ServerTable table, Map<String, State> newest, long offset) {
		Set<String> listed = newest.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() != State.ENDED)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		table.retain(listed, offset + 1, Long.MIN_VALUE, offset);
	}

	private static void assertTakesRequests(ServerTable table, Map<String, State> newest) {
		for (String id : IDS) {
			Optional<KnownServer> known = table.find(id);
			boolean takesRequests = known.isPresent() && known.get().takesRequests();
			assertThat(takesRequests, is(newest.get(id) == State.READY));
		}
	}

}
