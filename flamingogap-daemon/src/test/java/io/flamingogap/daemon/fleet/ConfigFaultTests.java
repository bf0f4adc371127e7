package io.flamingogap.daemon.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.testkit.net.LinkMode;
import io.flamingogap.testkit.platform.LogMode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Configuration under faults of the log.
 */
class ConfigFaultTests {

	private static final long IN_FORCE_MILLIS = 5_000;

	private Fleet fleet;

	@BeforeEach
	void startFleet() throws Exception {
		this.fleet = Fleet.start(3);
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	private long base() throws Exception {
		return this.fleet.operatorGet(0, "manifest").get("offset").asLong();
	}

	private String changed(String mark) {
		return this.fleet.manifest() + "# " + mark + "\n";
	}

	@Test
	void racingOperatorsGetOneWinnerAndANamedRefusal() throws Exception {
		long base = base();
		JsonNode first = this.fleet.publish(0, "change-first", base, changed("first"));
		JsonNode second = this.fleet.publish(1, "change-second", base, changed("second"));
		assertThat(first.path("accepted").asBoolean(), is(true));
		assertThat(second.path("status").asInt(), is(409));
		assertThat(second.path("detail").asText(), containsString("change-first by release-pipeline"));
	}

	@Test
	void changeWhoseReplyWasLostIsFoundInTheStream() throws Exception {
		long base = base();
		this.fleet.log().setMode(LogMode.LOSE_REPLIES);
		JsonNode verdict = this.fleet.publish(0, "change-lost", base, changed("lost"));
		this.fleet.log().setMode(LogMode.UP);
		JsonNode again = this.fleet.publish(1, "change-lost", base, changed("lost"));
		assertThat(verdict.path("accepted").asBoolean(), is(true));
		assertThat(again.path("offset").asLong(), is(verdict.path("offset").asLong()));
	}

	@Test
	void changeThatTookEffectTwiceIsAppliedOnce() throws Exception {
		long base = base();
		this.fleet.log().setMode(LogMode.APPEND_TWICE);
		JsonNode verdict = this.fleet.publish(0, "change-twice", base, changed("twice"));
		this.fleet.log().setMode(LogMode.UP);
		long offset = verdict.path("offset").asLong();
		this.fleet.await("the doubled record was read",
				() -> this.fleet.operatorGet(1, "status").get("configHead").asLong() > offset);
		assertThat(this.fleet.configOffset(1), is(offset));
	}

	@Test
	void changeIsInForceAtNodesThatCannotReachTheLog() throws Exception {
		long startNanos = System.nanoTime();
		JsonNode verdict = this.fleet.publish(0, "change-spread", base(), changed("spread"));
		this.fleet.logLink().setMode(LinkMode.CUT);
		long offset = verdict.path("offset").asLong();
		for (int i = 0; i < 3; i++) {
			int number = i;
			this.fleet.await("in force at " + i, () -> this.fleet.configOffset(number) == offset);
		}
		assertThat((System.nanoTime() - startNanos) / 1_000_000, lessThan(IN_FORCE_MILLIS));
	}

	@Test
	void nodeThatStartsInAnOutageLearnsFromItsPeers() throws Exception {
		long offset = base();
		this.fleet.log().setMode(LogMode.DOWN);
		int started = this.fleet.startNode();
		this.fleet.await("in force at the new node", () -> this.fleet.configOffset(started) == offset);
		this.fleet.log().setMode(LogMode.UP);
		assertThat(this.fleet.configOffset(started), is(offset));
	}

	@Test
	void changeIsInForceWithinTheBoundWhileTheLogIsSlow() throws Exception {
		this.fleet.log().setDelayMillis(300);
		long startNanos = System.nanoTime();
		this.fleet.applyManifest(changed("slow"));
		assertThat((System.nanoTime() - startNanos) / 1_000_000, lessThan(IN_FORCE_MILLIS));
	}

	@Test
	void publishingWhileTheLogIsDownIsRefusedAndChangesNothing() throws Exception {
		long base = base();
		this.fleet.log().setMode(LogMode.DOWN);
		JsonNode refused = this.fleet.publish(0, "change-down", base, changed("down"));
		assertThat(refused.path("status").asInt(), is(503));
		this.fleet.log().setMode(LogMode.UP);
		assertThat(this.fleet.configOffset(0), is(base));
	}

	@Test
	void freshFleetStartsWithTheWholeStateAfterTheLogDroppedEarlyRecords() throws Exception {
		this.fleet.applyManifest(changed("kept"));
		long offset = base();
		this.fleet.await("a snapshot was published",
				() -> this.fleet.log()
					.read("config", 1, 100, 0)
					.records()
					.stream()
					.anyMatch((found) -> found.offset() > offset && found.body().contains("asOfOffset")));
		this.fleet.killAll();
		this.fleet.log().truncate("config", offset + 1);
		int started = this.fleet.startNode();
		this.fleet.await("in force at a fresh node", () -> this.fleet.configOffset(started) == offset);
		String manifest = this.fleet.operatorGet(started, "manifest").get("manifest").asText();
		assertThat(manifest, containsString("# kept"));
		JsonNode next = this.fleet.publish(started, "change-after", offset, manifest + "# after\n");
		assertThat(next.path("accepted").asBoolean(), is(true));
	}

	@Test
	void invalidAndUnauthorisedChangesDoNothing() throws Exception {
		long base = base();
		JsonNode refused = this.fleet.publish(0, "change-invalid", base, "[[service]]\nname = \"x\"\n");
		assertThat(refused.path("status").asInt(), is(422));
		assertThat(this.fleet.configOffset(0), is(base));
		assertThat(this.fleet.operatorGetAs("account-key", 0, "status").path("status").asInt(), is(403));
		assertThat(this.fleet.operatorGetAs("nobody", 0, "status").path("status").asInt(), is(401));
	}

}
