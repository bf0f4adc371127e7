package io.flamingogap.daemon.fleet;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;

/**
 * What operators see of a running fleet.
 */
class OperationsTests {

	private Fleet fleet;

	@BeforeEach
	void startFleet() throws Exception {
		this.fleet = Fleet.start(2);
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	@Test
	void auditTrailShowsChangesDrainsAndHandovers() throws Exception {
		this.fleet.operatorPost(0, "drain");
		this.fleet.await("left", () -> !this.fleet.daemon(0).process().isAlive());
		List<String> seen = new ArrayList<>();
		for (JsonNode entry : this.fleet.operatorGet(1, "audit")) {
			seen.add(entry.get("who").asText().replaceAll("~.*", "") + " " + entry.get("what").asText());
		}
		assertThat(seen, hasItems("release-pipeline change accepted", "release-pipeline drain", "entry-0 handover"));
		assertThat(this.fleet.daemon(0).process().exitValue(), is(0));
	}

	@Test
	void healthReadinessAndMetricsAreOnTheAdminPort() throws Exception {
		assertThat(this.fleet.adminGet(0, "/healthz").statusCode(), is(200));
		assertThat(this.fleet.adminGet(0, "/readyz").statusCode(), is(200));
		String metrics = this.fleet.adminGet(0, "/metrics").body();
		assertThat(metrics, containsString("flamingogap_members_serving 2.0"));
		assertThat(metrics, containsString("flamingogap_log_reachable 1.0"));
		this.fleet.operatorPost(0, "drain");
		this.fleet.await("not ready while draining", () -> this.fleet.adminGet(0, "/readyz").statusCode() == 503);
	}

}
