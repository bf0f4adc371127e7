package io.flamingogap.core.servers;

import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.node.Address;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ServerTable}.
 */
class ServerTableTests {

	private static final long PAST_MILLIS = 0;

	private final ServerTable table = new ServerTable();

	private static ServerRegistration registration(String id, boolean draining, long startedAtMillis) {
		return new ServerRegistration(id, "engine", Address.parse("10.0.0.1:80"), "z", "v1", 8, draining, false,
				startedAtMillis, 1);
	}

	@Nested
	class Registrations {

		@Test
		void olderRecordsAreIgnored() {
			ServerTableTests.this.table.register(registration("a", true, 1), 5);
			assertThat(ServerTableTests.this.table.register(registration("a", false, 1), 4), is(false));
			assertThat(ServerTableTests.this.table.find("a").get().takesRequests(), is(false));
		}

		@Test
		void restartUnderTheSameIdResetsTheLoad() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.find("a").get().load().recordSent(100);
			ServerTableTests.this.table.register(registration("a", false, 2), 2);
			assertThat(ServerTableTests.this.table.find("a").get().load().openRequests(), is(0));
			assertThat(ServerTableTests.this.table.ofService("engine"), hasSize(1));
		}

		@Test
		void drainingServerTakesNoRequests() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			KnownServer server = ServerTableTests.this.table.find("a").get();
			ServerTableTests.this.table.register(registration("a", true, 1), 2);
			assertThat(server.takesRequests(), is(false));
		}

	}

	@Nested
	class RegistrationEnds {

		@Test
		void endWithoutGracePeriodRemovesTheServerAtOnce() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			KnownServer server = ServerTableTests.this.table.find("a").get();
			ServerTableTests.this.table.unregister("a", 2, PAST_MILLIS, 100);
			assertThat(ServerTableTests.this.table.size(), is(0));
			assertThat(server.takesRequests(), is(false));
		}

		@Test
		void suspectServerIsKeptUntilItsGracePeriodPasses() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.unregister("a", 2, 2_600, 100);
			assertThat(ServerTableTests.this.table.expire(2_599), hasSize(0));
			assertThat(ServerTableTests.this.table.find("a").get().takesRequests(), is(true));
			assertThat(ServerTableTests.this.table.expire(2_600), hasSize(1));
			assertThat(ServerTableTests.this.table.size(), is(0));
		}

		@Test
		void serverThatRegistersAgainIsNoLongerSuspect() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.unregister("a", 2, 2_600, 100);
			ServerTableTests.this.table.register(registration("a", false, 1), 3);
			assertThat(ServerTableTests.this.table.expire(9_000), hasSize(0));
			assertThat(ServerTableTests.this.table.find("a").get().isSuspect(), is(false));
		}

		@Test
		void drainingServerIsNotKeptAsSuspect() {
			ServerTableTests.this.table.register(registration("a", true, 1), 1);
			ServerTableTests.this.table.unregister("a", 2, 2_600, 100);
			assertThat(ServerTableTests.this.table.size(), is(0));
		}

		@Test
		void listingEndsOlderRegistrationsThatItDoesNotContain() {
			ServerTableTests.this.table.register(registration("a", false, 1), 1);
			ServerTableTests.this.table.register(registration("b", false, 1), 7);
			ServerTableTests.this.table.retain(Set.of("c"), 5, PAST_MILLIS, 100);
			assertThat(ServerTableTests.this.table.find("a").isPresent(), is(false));
			assertThat(ServerTableTests.this.table.find("b").isPresent(), is(true));
		}

	}

}
