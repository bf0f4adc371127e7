package io.flamingogap.core.serving;

import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ServingConfig}, {@link RouteRule} and {@link ConfigHolder}.
 */
class ServingConfigTests {

	private static RouteRule route(String name, String prefix) {
		return new RouteRule(name, "desk.example", prefix, RequestKind.IDEMPOTENT, 1_000, 100, 0,
				List.of(new WeightedService("a", 90), new WeightedService("b", 10)), 2, false, false, false);
	}

	private static ServingConfig configOf(long version) {
		ClientAccount account = new ClientAccount("growers", List.of("key-1", "key-2"), OptionalInt.empty(),
				AccountQuota.UNLIMITED);
		return ServingConfig.of(version, List.of(route("short", "/a/"), route("long", "/a/b/")), List.of(),
				List.of(account), ListenerLimits.DEFAULT);
	}

	@Nested
	class Routes {

		@Test
		void longestPrefixOfTheHostWins() {
			assertThat(configOf(1).findRoute("desk.example", "/a/b/c").get().name(), is("long"));
			assertThat(configOf(1).findRoute("desk.example", "/a/x").get().name(), is("short"));
		}

		@Test
		void otherHostsAndPathsHaveNoRoute() {
			assertThat(configOf(1).findRoute("other.example", "/a/b/c").isPresent(), is(false));
			assertThat(configOf(1).findRoute("desk.example", "/ab").isPresent(), is(false));
		}

		@Test
		void servicesShareRequestsByWeight() {
			RouteRule route = route("short", "/a/");
			assertThat(route.chooseService(0), is("a"));
			assertThat(route.chooseService(0.899), is("a"));
			assertThat(route.chooseService(0.901), is("b"));
		}

	}

	@Nested
	class Accounts {

		@Test
		void anyKeyOfAnAccountFindsIt() {
			assertThat(configOf(1).findAccount("key-2").get().name(), is("growers"));
			assertThat(configOf(1).findAccount("key-3").isPresent(), is(false));
		}

	}

	@Nested
	class CurrentVersion {

		@Test
		void newerVersionsReplaceOlderOnes() {
			ConfigHolder holder = new ConfigHolder();
			assertThat(holder.applyIfNewer(configOf(3), 0), is(true));
			assertThat(holder.applyIfNewer(configOf(9), 10), is(true));
			assertThat(holder.current().get().version(), is(9L));
			assertThat(holder.ageMillis(25), is(15L));
		}

		@Test
		void olderVersionsAreIgnored() {
			ConfigHolder holder = new ConfigHolder();
			holder.applyIfNewer(configOf(9), 0);
			assertThat(holder.applyIfNewer(configOf(3), 10), is(false));
			assertThat(holder.applyIfNewer(configOf(9), 10), is(false));
			assertThat(holder.current().get().version(), is(9L));
		}

	}

}
