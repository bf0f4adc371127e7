package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.jspecify.annotations.Nullable;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Property tests of {@link ServerTable}: records that arrive more than once, that the
 * store accepts late, complete listings between them, and returns of the store from
 * earlier copies.
 */
class ServerTablePropertyTests {

	private static final List<String> IDS = List.of("a", "b", "c");

	private static final int STEPS = 40;

	@Property(tries = 10_000, seed = "20261204")
	void onlyServersThatLastReportedReadyTakeRequests(@ForAll @LongRange(max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<Server> servers = IDS.stream().map(Server::new).toList();
		List<@Nullable ServerRegistration> log = new ArrayList<>();
		List<String> keys = new ArrayList<>();
		ServerTable table = new ServerTable();
		for (int step = 0; step < STEPS; step++) {
			Server server = servers.get(random.nextInt(servers.size()));
			boolean late = !server.written.isEmpty() && random.nextInt(3) == 0;
			log.add(late ? server.written.get(random.nextInt(server.written.size())) : server.step(random));
			keys.add(server.id);
			apply(table, keys, log, log.size() - 1);
			if (random.nextInt(8) == 0) {
				answerThatTheServerLeaves(table, servers.get(random.nextInt(servers.size())));
			}
			apply(table, keys, log, random.nextInt(log.size()));
			if (random.nextInt(6) == 0) {
				applyListing(table, keys, log);
			}
			for (Server each : servers) {
				boolean takesRequests = table.find(each.id).map(KnownServer::takesRequests).orElse(false);
				assertThat(takesRequests, is(each.state == State.READY));
			}
		}
	}

	// Requests reached servers that had left, and none reached live ones, after the store
	// had returned from an earlier copy and the lost records were written again.
	@Property(tries = 10_000, seed = "20261207")
	void serversAreKnownAsTheyLastReportedOnceLostRecordsAreWrittenAgain(
			@ForAll @LongRange(max = 1_000_000) long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<Server> servers = IDS.stream().map(Server::new).toList();
		ReturningStore store = new ReturningStore();
		Reader reader = new Reader(store);
		for (int step = 0; step < STEPS; step++) {
			reader.nowMillis += random.nextInt(500);
			Server server = servers.get(random.nextInt(servers.size()));
			store.write(server.id, server.step(random));
			if (random.nextInt(3) > 0) {
				reader.readRecords(random.nextInt(4));
			}
			if (random.nextInt(8) == 0) {
				reader.askWhetherItLeaves(servers.get(random.nextInt(servers.size())));
			}
			if (random.nextInt(6) == 0) {
				store.returnFromCopy(random.nextInt(8));
				store.writeAgain(random.nextInt(3));
				reader.onStoreRestored();
			}
			store.writeAgain(random.nextInt(2));
			reader.removeExpired();
			assertThat(reader.departedRunsThatTakeRequests(), is(List.of()));
		}
		store.writeAgain(Integer.MAX_VALUE);
		reader.readRecords(Integer.MAX_VALUE);
		reader.nowMillis += Reader.GRACE_MILLIS;
		reader.removeExpired();
		assertThat(reader.departedRunsThatTakeRequests(), is(List.of()));
		for (Server each : servers) {
			assertThat(reader.takesRequests(each.id), is(each.state == State.READY));
		}
	}

	private static void answerThatTheServerLeaves(ServerTable table, Server server) {
		if (server.state == State.READY) {
			server.state = State.DRAINING;
			server.departed = true;
			ServerRegistration last = server.written.get(server.written.size() - 1);
			table.depart(last.id(), last.startedAtMillis());
		}
	}

	private static void apply(ServerTable table, List<String> keys, List<@Nullable ServerRegistration> log,
			int offset) {
		ServerRegistration registration = log.get(offset);
		if (registration == null) {
			table.unregister(keys.get(offset), offset, Long.MIN_VALUE, offset);
		}
		else {
			table.register(registration, offset);
		}
	}

	private static void applyListing(ServerTable table, List<String> keys, List<@Nullable ServerRegistration> log) {
		Set<String> listed = new TreeSet<>();
		for (String id : IDS) {
			int newest = keys.lastIndexOf(id);
			if (newest >= 0 && log.get(newest) != null) {
				apply(table, keys, log, newest);
				listed.add(id);
			}
		}
		table.retain(listed, log.size(), Long.MIN_VALUE, log.size());
	}

	/**
	 * A record of a server, or the end of its registration.
	 */
	private record Entry(String id, @Nullable ServerRegistration registration) {
	}

	/**
	 * A store that returns from earlier copies of itself. The newest lost record of a
	 * server is written again, unless the server has written another one since.
	 */
	private static final class ReturningStore {

		private final List<Entry> log = new ArrayList<>();

		private final Map<String, Entry> lost = new TreeMap<>();

		private void write(String id, @Nullable ServerRegistration registration) {
			this.log.add(new Entry(id, registration));
			this.lost.remove(id);
		}

		private void returnFromCopy(int lostRecords) {
			List<Entry> end = this.log.subList(Math.max(0, this.log.size() - lostRecords), this.log.size());
			Map<String, Entry> newlyLost = new TreeMap<>();
			end.forEach((entry) -> newlyLost.put(entry.id, entry));
			newlyLost.forEach(this.lost::putIfAbsent);
			end.clear();
		}

		private void writeAgain(int maxRecords) {
			List.copyOf(this.lost.values())
				.stream()
				.limit(maxRecords)
				.forEach((entry) -> write(entry.id, entry.registration));
		}

		private Map<String, Integer> newestOffsets() {
			Map<String, Integer> offsets = new TreeMap<>();
			for (int offset = 0; offset < this.log.size(); offset++) {
				offsets.put(this.log.get(offset).id, offset);
			}
			offsets.values().removeIf((offset) -> this.log.get(offset).registration == null);
			return offsets;
		}

	}

	/**
	 * A node that follows the store and updates its table.
	 */
	private static final class Reader {

		private static final long GRACE_MILLIS = 2_500;

		private final ServerTable table = new ServerTable();

		private final Set<String> departedRuns = new TreeSet<>();

		private final ReturningStore store;

		private int nextOffset;

		private long nowMillis;

		private long suspectUntilMillis;

		private Reader(ReturningStore store) {
			this.store = store;
		}

		private void readRecords(int maxRecords) {
			for (int read = 0; read < maxRecords && this.nextOffset < this.store.log.size(); read++) {
				apply(this.nextOffset++);
			}
		}

		private void apply(int offset) {
			Entry entry = this.store.log.get(offset);
			if (entry.registration == null) {
				this.table.unregister(entry.id, offset, this.suspectUntilMillis, this.nowMillis);
				return;
			}
			this.table.register(entry.registration, offset);
			if (entry.registration.draining()) {
				this.departedRuns.add(runOf(entry.registration));
			}
		}

		private void onStoreRestored() {
			this.suspectUntilMillis = this.nowMillis + GRACE_MILLIS;
			this.table.forgetOffsets();
			Map<String, Integer> listed = this.store.newestOffsets();
			listed.values().forEach(this::apply);
			this.nextOffset = this.store.log.size();
			this.table.retain(listed.keySet(), this.nextOffset, this.suspectUntilMillis, this.nowMillis);
		}

		private void askWhetherItLeaves(Server server) {
			if (server.state == State.READY && takesRequests(server.id)
					&& this.table.depart(server.id, server.startedAtMillis)) {
				server.state = State.DRAINING;
				server.departed = true;
				this.departedRuns.add(server.id + "/" + server.startedAtMillis);
			}
		}

		private void removeExpired() {
			this.table.expire(this.nowMillis);
		}

		private boolean takesRequests(String id) {
			return this.table.find(id).map(KnownServer::takesRequests).orElse(false);
		}

		private List<String> departedRunsThatTakeRequests() {
			return IDS.stream()
				.filter(this::takesRequests)
				.map((id) -> runOf(this.table.find(id).orElseThrow().registration()))
				.filter(this.departedRuns::contains)
				.toList();
		}

		private static String runOf(ServerRegistration registration) {
			return registration.id() + "/" + registration.startedAtMillis();
		}

	}

	/**
	 * State of a server, as it last reported itself.
	 */
	private enum State {

		READY, DRAINING, ENDED

	}

	/**
	 * A server that writes records of itself.
	 */
	private static final class Server {

		private final String id;

		private final List<ServerRegistration> written = new ArrayList<>();

		private State state = State.ENDED;

		private long startedAtMillis;

		private long sequence;

		private boolean departed;

		private Server(String id) {
			this.id = id;
		}

		/**
		 * Change the state. A server that has reported that it is draining stays so until
		 * it starts again.
		 * @return the record to store; {@code null} if the registration ends
		 */
		private @Nullable ServerRegistration step(SplittableRandom random) {
			State next = State.values()[random.nextInt(State.values().length)];
			boolean restarts = this.written.isEmpty() || (next == State.READY && this.departed)
					|| random.nextInt(6) == 0;
			if (next == State.ENDED) {
				this.state = next;
				return null;
			}
			if (restarts) {
				this.startedAtMillis += 1_000;
				this.sequence = 0;
				this.departed = false;
			}
			this.state = next;
			this.departed |= next == State.DRAINING;
			this.sequence += 1 + random.nextInt(3);
			this.written.add(new ServerRegistration(this.id, "desk", new Address("10.0.0.1", 80), "z1", "v1", 4,
					next == State.DRAINING, false, this.startedAtMillis, this.sequence));
			return this.written.get(this.written.size() - 1);
		}

	}

}
