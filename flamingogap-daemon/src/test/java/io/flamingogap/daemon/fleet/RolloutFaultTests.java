package io.flamingogap.daemon.fleet;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.testkit.backends.FakePlainService;
import io.flamingogap.testkit.check.CallerClient;
import io.flamingogap.testkit.net.LinkMode;
import io.flamingogap.testkit.platform.LogMode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests that all nodes take a bad candidate back and that callers see no failure, with
 * daemons as processes.
 */
class RolloutFaultTests {

	private static final int NODES = 3;

	private static final long MAX_PROPAGATION_MILLIS = 5_000;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private final FakePlainService candidate = new FakePlainService(0, 5);

	private final AtomicBoolean running = new AtomicBoolean(true);

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private Fleet fleet;

	private CallerClient caller;

	@BeforeEach
	void startFleet() throws Exception {
		this.fleet = Fleet.start(NODES);
		this.caller = this.fleet.caller();
	}

	@AfterEach
	void stopFleet() {
		this.running.set(false);
		this.executor.shutdownNow();
		this.fleet.close();
		this.candidate.close();
	}

	private void startLookups() {
		for (int i = 0; i < 2 * NODES; i++) {
			String address = this.fleet.address(i % NODES);
			this.executor.execute(() -> {
				while (this.running.get()) {
					int status = this.caller.call(address, "GET", "/services/desk/lots/1", Optional.empty(), "")
						.status();
					((status == 200) ? this.answered : this.refused).incrementAndGet();
				}
			});
		}
	}

	private JsonNode rollout(int daemon) throws Exception {
		return this.fleet.operatorGet(daemon, "rollouts").path(0);
	}

	private boolean takenBackEverywhere() throws Exception {
		for (int i = 0; i < NODES; i++) {
			if (!"TAKEN_BACK".equals(rollout(i).path("phase").asText())) {
				return false;
			}
		}
		return true;
	}

	@Test
	void failingCandidateIsTakenBackEverywhereWithTheLogDownAndCallersSeeNothing() throws Exception {
		this.candidate.setFailing(true);
		this.fleet.applyManifest(this.fleet.manifestWithRollout(this.candidate.address(), 600));
		this.fleet.log().setMode(LogMode.DOWN);
		startLookups();
		this.fleet.await("taken back at one node", () -> "TAKEN_BACK".equals(rollout(0).path("phase").asText())
				|| "TAKEN_BACK".equals(rollout(1).path("phase").asText()));
		long startNanos = System.nanoTime();
		this.fleet.await("taken back everywhere", this::takenBackEverywhere);
		assertThat((System.nanoTime() - startNanos) / 1_000_000, lessThan(MAX_PROPAGATION_MILLIS));
		TimeUnit.MILLISECONDS.sleep(200);
		long requestsBefore = this.candidate.requests();
		TimeUnit.MILLISECONDS.sleep(1_000);
		assertThat(this.candidate.requests(), is(requestsBefore));
		assertThat(rollout(0).path("reason").asText(), containsString("failures"));
		assertThat(this.refused.get(), is(0));
		assertThat((double) requestsBefore / this.answered.get(), lessThan(0.02));
	}

	@Test
	void candidateThatIsNeverReadyIsTakenBack() throws Exception {
		this.candidate.close();
		this.fleet.applyManifest(this.fleet.manifestWithRollout(this.candidate.address(), 600));
		startLookups();
		this.fleet.await("taken back everywhere", this::takenBackEverywhere);
		assertThat(this.refused.get(), is(0));
	}

	@Test
	void operatorTakesBackAtNodesThatCannotReachTheLog() throws Exception {
		this.fleet.applyManifest(this.fleet.manifestWithRollout(this.candidate.address(), 600));
		this.fleet.logLink().setMode(LinkMode.CUT);
		this.fleet.operatorPost(1, "rollouts/desk/take-back");
		this.fleet.await("taken back everywhere", this::takenBackEverywhere);
	}

	@Test
	void takeBackIsKnownToANodeThatStartsLater() throws Exception {
		this.fleet.applyManifest(this.fleet.manifestWithRollout(this.candidate.address(), 600));
		this.fleet.operatorPost(0, "rollouts/desk/take-back");
		int newDaemon = this.fleet.startNode();
		this.fleet.await("taken back at the new node",
				() -> "TAKEN_BACK".equals(rollout(newDaemon).path("phase").asText()));
	}

	@Test
	void bookingsDoNotExploreACandidate() throws Exception {
		this.fleet.applyManifest(this.fleet.manifestWithRollout(this.candidate.address(), 600));
		for (int i = 0; i < 600; i++) {
			String key = this.caller.newKey(this.fleet.entryOf(0));
			this.caller.call(this.fleet.address(0), "POST", "/services/desk/bookings", Optional.of(key), "{}");
		}
		assertThat(this.candidate.executions().size(), is(0));
		assertThat(this.fleet.plainService().executions().size(), greaterThan(500));
	}

}
