package io.flamingogap.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.core.manifest.BackendServer;
import io.flamingogap.core.manifest.Manifest;
import io.flamingogap.core.manifest.Zone;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link LeastLoadedSelector}.
 */
class LeastLoadedSelectorTests {

	private final ServerLoadTable loads = new ServerLoadTable(1_000);

	private final LeavingServers leaving = new LeavingServers(10_000);

	private Manifest manifest;

	@BeforeEach
	void createManifest() {
		this.manifest = new Manifest(
				List.of(new Zone("zone-0", "cariri"), new Zone("zone-1", "cariri"), new Zone("zone-2", "agreste")),
				List.of(), List.of(server("near", "zone-0"), server("next", "zone-1"), server("far", "zone-2")),
				List.of(), List.of(), List.of());
	}

	private static BackendServer server(String name, String zone) {
		return new BackendServer(name, "assistant", "v1", zone, "127.0.0.1:80");
	}

	private Optional<String> choose(List<String> zones, Set<String> tried, long nowMillis) {
		ServerQuery query = new ServerQuery("assistant", "v1", zones, tried);
		return LeastLoadedSelector.choose(this.manifest, query, "zone-0", this.loads, this.leaving, nowMillis)
			.map(BackendServer::name);
	}

	private Optional<String> choose() {
		return choose(List.of(), Set.of(), 0);
	}

	@Test
	void nearServerIsPreferredUntilItsLoadOutweighsTheDistance() {
		assertThat(choose().orElseThrow(), is("near"));
		this.loads.recordReport("near", 2);
		assertThat(choose().orElseThrow(), is("next"));
		this.loads.recordReport("near", 9);
		this.loads.recordReport("next", 9);
		assertThat(choose().orElseThrow(), is("far"));
	}

	@Test
	void ownDispatchesCorrectALaggingReport() {
		this.loads.recordReport("near", 0);
		this.loads.recordDispatch("near");
		this.loads.recordDispatch("near");
		assertThat(choose().orElseThrow(), is("next"));
	}

	@Test
	void leavingServersGetNoNewRequests() {
		this.leaving.add("near", 0);
		this.leaving.add("next", 0);
		this.leaving.add("far", 0);
		assertThat(choose().isPresent(), is(false));
	}

	@Test
	void unreachableServerIsAvoidedForATimeUnlessItIsTheOnlyOne() {
		this.loads.recordUnreachable("near", 0);
		assertThat(choose(List.of(), Set.of(), 999).orElseThrow(), is("next"));
		assertThat(choose(List.of(), Set.of(), 1_001).orElseThrow(), is("near"));
		assertThat(choose(List.of(), Set.of("next", "far"), 1).orElseThrow(), is("near"));
	}

	@Test
	void onlyAllowedZonesAreUsed() {
		assertThat(choose(List.of("zone-2"), Set.of(), 0).orElseThrow(), is("far"));
	}

}
