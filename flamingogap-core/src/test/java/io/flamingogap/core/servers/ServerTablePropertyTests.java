package io.flamingogap.core.servers;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
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
 * store accepts late, and complete listings between them.
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
