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
 * Tests that configuration changes are decided once and reach all nodes while the
 * platform log is slow, unavailable, or loses or repeats operations.
 */
class ConfigFaultTests {

	private static final long MAX_PROPAGATION_MILLIS = 5_000;

	private Fleet fleet;

	@BeforeEach
	void startFleet() throws Exception {
		this.fleet = Fleet.start(3);
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	private long offsetInForce() throws Exception {
		return this.fleet.operatorGet(0, "manifest").get("offset").asLong();
	}

	private String manifestWithComment(String comment) {
		return this.fleet.manifest() + "# " + comment + "\n";
	}

	@Test
	void racingOperatorsGetOneWinnerAndANamedRefusal() throws Exception {
		long baseOffset = offsetInForce();
		JsonNode first = this.fleet.publish(0, "change-first", baseOffset, manifestWithComment("first"));
		JsonNode second = this.fleet.publish(1, "change-second", baseOffset, manifestWithComment("second"));
		assertThat(first.path("accepted").asBoolean(), is(true));
		assertThat(second.path("status").asInt(), is(409));
		assertThat(second.path("detail").asText(), containsString("change-first by release-pipeline"));
	}

	@Test
	void changeWhoseReplyWasLostIsFoundInTheStream() throws Exception {
		long baseOffset = offsetInForce();
		this.fleet.log().setMode(LogMode.LOSE_REPLIES);
		JsonNode verdict = this.fleet.publish(0, "change-lost", baseOffset, manifestWithComment("lost"));
		this.fleet.log().setMode(LogMode.UP);
		JsonNode retried = this.fleet.publish(1, "change-lost", baseOffset, manifestWithComment("lost"));
		assertThat(verdict.path("accepted").asBoolean(), is(true));
		assertThat(retried.path("offset").asLong(), is(verdict.path("offset").asLong()));
	}

	@Test
	void changeThatTookEffectTwiceIsAppliedOnce() throws Exception {
		long baseOffset = offsetInForce();
		this.fleet.log().setMode(LogMode.APPEND_TWICE);
		JsonNode verdict = this.fleet.publish(0, "change-twice", baseOffset, manifestWithComment("twice"));
		this.fleet.log().setMode(LogMode.UP);
		long offset = verdict.path("offset").asLong();
		this.fleet.await("the duplicate record was read",
				() -> this.fleet.operatorGet(1, "status").get("configHead").asLong() > offset);
		assertThat(this.fleet.configOffset(1), is(offset));
	}

	@Test
	void changeIsInForceAtNodesThatCannotReachTheLog() throws Exception {
		long startNanos = System.nanoTime();
		JsonNode verdict = this.fleet.publish(0, "change-spread", offsetInForce(), manifestWithComment("spread"));
		this.fleet.logLink().setMode(LinkMode.CUT);
		long offset = verdict.path("offset").asLong();
		for (int i = 0; i < 3; i++) {
			int node = i;
			this.fleet.await("in force at node " + i, () -> this.fleet.configOffset(node) == offset);
		}
		assertThat((System.nanoTime() - startNanos) / 1_000_000, lessThan(MAX_PROPAGATION_MILLIS));
	}

	@Test
	void nodeThatStartsInAnOutageLearnsFromItsPeers() throws Exception {
		long offset = offsetInForce();
		this.fleet.log().setMode(LogMode.DOWN);
		int newNode = this.fleet.startNode();
		this.fleet.await("in force at the new node", () -> this.fleet.configOffset(newNode) == offset);
		this.fleet.log().setMode(LogMode.UP);
		assertThat(this.fleet.configOffset(newNode), is(offset));
	}

	@Test
	void changeIsInForceWithinTheBoundWhileTheLogIsSlow() throws Exception {
		this.fleet.log().setDelayMillis(300);
		long startNanos = System.nanoTime();
		this.fleet.applyManifest(manifestWithComment("slow"));
		assertThat((System.nanoTime() - startNanos) / 1_000_000, lessThan(MAX_PROPAGATION_MILLIS));
	}

	@Test
	void publishingWhileTheLogIsDownIsRefusedAndChangesNothing() throws Exception {
		long baseOffset = offsetInForce();
		this.fleet.log().setMode(LogMode.DOWN);
		JsonNode refused = this.fleet.publish(0, "change-down", baseOffset, manifestWithComment("down"));
		assertThat(refused.path("status").asInt(), is(503));
		this.fleet.log().setMode(LogMode.UP);
		assertThat(this.fleet.configOffset(0), is(baseOffset));
	}

	@Test
	void freshFleetStartsWithTheWholeStateAfterTheLogDroppedEarlyRecords() throws Exception {
		this.fleet.applyManifest(manifestWithComment("kept"));
		long offset = offsetInForce();
		this.fleet.await("a snapshot was published",
				() -> this.fleet.log()
					.read("config", 1, 100, 0)
					.records()
					.stream()
					.anyMatch((logRecord) -> logRecord.offset() > offset && logRecord.body().contains("asOfOffset")));
		this.fleet.killAll();
		this.fleet.log().truncate("config", offset + 1);
		int newNode = this.fleet.startNode();
		this.fleet.await("in force at a fresh node", () -> this.fleet.configOffset(newNode) == offset);
		String manifest = this.fleet.operatorGet(newNode, "manifest").get("manifest").asText();
		assertThat(manifest, containsString("# kept"));
		JsonNode next = this.fleet.publish(newNode, "change-after", offset, manifest + "# after\n");
		assertThat(next.path("accepted").asBoolean(), is(true));
	}

	@Test
	void invalidAndUnauthorisedChangesHaveNoEffect() throws Exception {
		long baseOffset = offsetInForce();
		JsonNode refused = this.fleet.publish(0, "change-invalid", baseOffset, "[[service]]\nname = \"x\"\n");
		assertThat(refused.path("status").asInt(), is(422));
		assertThat(this.fleet.configOffset(0), is(baseOffset));
		assertThat(this.fleet.operatorGetAs("account-key", 0, "status").path("status").asInt(), is(403));
		assertThat(this.fleet.operatorGetAs("nobody", 0, "status").path("status").asInt(), is(401));
	}

}
