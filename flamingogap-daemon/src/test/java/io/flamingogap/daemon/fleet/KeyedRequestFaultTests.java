package io.flamingogap.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.testkit.check.CallerClient;
import io.flamingogap.testkit.check.CallerClient.EntryNodeReply;
import io.flamingogap.testkit.check.CallerClient.Reply;
import io.flamingogap.testkit.http.Json;
import io.flamingogap.testkit.net.LinkMode;
import io.flamingogap.testkit.net.UnresponsivePort;
import io.flamingogap.testkit.platform.LogMode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a keyed request is executed at most once, and that a problem document says
 * correctly whether it was executed, while nodes, links and the platform log fail.
 * Executions are counted at the plain service.
 */
class KeyedRequestFaultTests {

	private static final String BODY = "{\"lot\":17}";

	private static final String PATH = "/services/desk/bookings";

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private Fleet fleet;

	private CallerClient caller;

	@BeforeEach
	void startFleet() throws Exception {
		this.fleet = Fleet.start(3);
		this.caller = this.fleet.caller();
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
		this.executor.shutdownNow();
	}

	private Reply book(int daemon, String key) {
		return this.caller.call(this.fleet.address(daemon), "POST", PATH, Optional.of(key), BODY);
	}

	private Future<Reply> bookAsync(int daemon, String key) {
		return this.executor.submit(() -> book(daemon, key));
	}

	private int executions(String key) {
		return this.fleet.plainService().executions().getOrDefault(key, 0);
	}

	private String state(int daemon, String key) {
		Reply reply = this.caller.call(this.fleet.address(daemon), "GET", "/v1/requests/" + key, Optional.empty(), "");
		return Json.parse(reply.body()).path("state").asText();
	}

	@Test
	void retriesAtEveryNodeAtTheSameTimeAreExecutedOnce() throws Exception {
		this.fleet.plainService().setAnswerMillis(300);
		String key = this.caller.newKey(this.fleet.entryOf(0));
		List<Future<Reply>> attempts = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			attempts.add(bookAsync(i % 3, key));
		}
		List<Reply> replies = new ArrayList<>();
		for (Future<Reply> attempt : attempts) {
			replies.add(attempt.get());
		}
		assertThat(replies, everyItem(is(replies.get(0))));
		assertThat(replies.get(0).status(), is(201));
		assertThat(executions(key), is(1));
	}

	@Test
	void bookingIsServedWhileTheLogIsDown() throws Exception {
		this.fleet.log().setMode(LogMode.DOWN);
		String key = this.caller.newKey(this.fleet.entryOf(1));
		assertThat(book(1, key).status(), is(201));
		assertThat(book(2, key).status(), is(201));
		assertThat(executions(key), is(1));
	}

	@Test
	void killedNodeLeavesOutcomeUnknownAndNoSecondExecution() throws Exception {
		this.fleet.plainService().setAnswerMillis(1_500);
		String key = this.caller.newKey(this.fleet.entryOf(0));
		bookAsync(0, key);
		this.fleet.await("the booking has reached the service", () -> executions(key) == 1);
		this.fleet.daemon(0).kill();
		Reply retry = book(1, key);
		assertThat(retry.body(), containsString("\"execution\":\"unknown\""));
		assertThat(state(1, key), is("unknown"));
		assertThat(executions(key), is(1));
	}

	@Test
	void outcomeOfAKilledNodeIsReadFromTheLog() throws Exception {
		String key = this.caller.newKey(this.fleet.entryOf(0));
		assertThat(book(0, key).status(), is(201));
		TimeUnit.MILLISECONDS.sleep(1_500);
		this.fleet.daemon(0).kill();
		this.fleet.await("another node reports the outcome", () -> "done".equals(state(2, key)));
		assertThat(book(1, key).body(), containsString("\"execution\":\"unknown\""));
		assertThat(executions(key), is(1));
	}

	@Test
	void frozenNodeResumesWithoutASecondExecution() throws Exception {
		String key = this.caller.newKey(this.fleet.entryOf(0));
		this.fleet.daemon(0).freeze();
		Reply replyWhileFrozen = this.caller.call(this.fleet.address(1), "POST", PATH, Optional.of(key), BODY);
		assertThat(replyWhileFrozen.body(), containsString("\"execution\":\"unknown\""));
		this.fleet.daemon(0).resume();
		this.fleet.await("the node is reachable again", () -> this.fleet.countServingNodes(1) == 3);
		assertThat(book(1, key).status(), is(201));
		assertThat(book(0, key).status(), is(201));
		assertThat(executions(key), is(1));
	}

	@Test
	void partitionBetweenNodesCausesNoSecondExecution() throws Exception {
		String key = this.caller.newKey(this.fleet.entryOf(0));
		this.fleet.nodeLink(0).setMode(LinkMode.CUT);
		assertThat(book(1, key).body(), containsString("\"execution\":\"unknown\""));
		assertThat(book(0, key).status(), is(201));
		assertThat(book(2, key).body(), containsString("\"execution\":\"unknown\""));
		this.fleet.nodeLink(0).setMode(LinkMode.PASS);
		this.fleet.await("the link between the nodes works again", () -> book(1, key).status() == 201);
		assertThat(executions(key), is(1));
	}

	@Test
	void lostForwardRepliesCauseNoSecondExecution() throws Exception {
		assertThat(book(1, this.caller.newKey(this.fleet.entryOf(0))).status(), is(201));
		String key = this.caller.newKey(this.fleet.entryOf(0));
		this.fleet.nodeLink(0).setMode(LinkMode.DROP_REPLIES);
		Reply firstReply = this.caller.callWithin(this.fleet.address(1), "POST", PATH, Optional.of(key), BODY, 1_000);
		assertThat(firstReply.body(), containsString("\"execution\":\"unknown\""));
		assertThat(executions(key), is(1));
		this.fleet.nodeLink(0).setMode(LinkMode.CUT);
		this.fleet.nodeLink(0).setMode(LinkMode.PASS);
		this.fleet.await("the link works again", () -> book(1, key).status() == 201);
		assertThat(executions(key), is(1));
	}

	@Test
	void silentBackendConnectionEndsAsUnknownWhileOthersGoOn() throws Exception {
		this.fleet.plainService().setAnswerMillis(400);
		String silentKey = this.caller.newKey(this.fleet.entryOf(0));
		Future<Reply> silentReply = bookAsync(0, silentKey);
		this.fleet.await("the booking has reached the service", () -> executions(silentKey) == 1);
		this.fleet.plainServiceLink().silenceOpen();
		String otherKey = this.caller.newKey(this.fleet.entryOf(0));
		assertThat(book(0, otherKey).status(), is(201));
		Reply reply = silentReply.get();
		assertThat(reply.body(), containsString("\"execution\":\"unknown\""));
		assertThat(book(1, silentKey).body(), containsString("\"execution\":\"unknown\""));
		assertThat(executions(silentKey), is(1));
		assertThat(executions(otherKey), is(1));
	}

	@Test
	void lookupOverASilentConnectionIsAnsweredOverAnother() {
		String lookup = "/services/desk/lots/1";
		String address = this.fleet.address(0);
		assertThat(this.caller.call(address, "GET", lookup, Optional.empty(), "").status(), is(200));
		this.fleet.plainServiceLink().silenceOpen();
		Reply reply = this.caller.callWithin(address, "GET", lookup, Optional.empty(), "", 10_000);
		assertThat(reply.status(), is(200));
	}

	@Test
	void refusedBackendIsReportedNotRunAndStaysNotRun() throws Exception {
		this.fleet.plainServiceLink().setMode(LinkMode.REFUSE);
		String key = this.caller.newKey(this.fleet.entryOf(0));
		Reply reply = this.caller.callWithin(this.fleet.address(0), "POST", PATH, Optional.of(key), BODY, 700);
		assertThat(reply.body(), containsString("\"execution\":\"not-run\""));
		assertThat(state(1, key), is("not_run"));
		assertThat(book(1, key).body(), containsString("\"execution\":\"not-run\""));
		assertThat(executions(key), is(0));
	}

	@Test
	void deadlineThatPassesWhileConnectingIsReportedNotRun() throws Exception {
		try (UnresponsivePort port = new UnresponsivePort()) {
			this.fleet.applyManifest(this.fleet.manifestWithPlainService(port.address()));
			String key = this.caller.newKey(this.fleet.entryOf(0));
			Reply reply = this.caller.callWithin(this.fleet.address(0), "POST", PATH, Optional.of(key), BODY, 400);
			assertThat(reply.body(), containsString("\"execution\":\"not-run\""));
			assertThat(state(1, key), is("not_run"));
		}
	}

	@Test
	void accountOverItsLimitIsRefusedNotRun() throws Exception {
		this.fleet.plainService().setHeld(true);
		EntryNodeReply entry = this.fleet.entryOf(0);
		List<String> keys = new ArrayList<>();
		List<Future<Reply>> attempts = new ArrayList<>();
		for (int i = 0; i < 210; i++) {
			keys.add(this.caller.newKey(entry));
			attempts.add(bookAsync(0, keys.get(i)));
		}
		this.fleet.await("10 attempts are refused", () -> attempts.stream().filter(Future::isDone).count() == 10);
		this.fleet.plainService().setHeld(false);
		int refused = 0;
		for (int i = 0; i < attempts.size(); i++) {
			Reply reply = attempts.get(i).get();
			boolean wasRefused = reply.status() == 429;
			refused += wasRefused ? 1 : 0;
			assertThat(reply.body(), containsString(wasRefused ? "\"execution\":\"not-run\"" : "booking"));
			assertThat(executions(keys.get(i)), is(wasRefused ? 0 : 1));
		}
		assertThat("an account may have 200 open requests", refused, is(10));
	}

	@Test
	void bodyLargerThanTheLimitIsRefusedNotRun() {
		String key = this.caller.newKey(this.fleet.entryOf(0));
		Reply reply = this.caller.call(this.fleet.address(0), "POST", PATH, Optional.of(key), "x".repeat(1_048_577));
		assertThat(reply.status(), is(413));
		assertThat(reply.body(), containsString("\"execution\":\"not-run\""));
		assertThat(executions(key), is(0));
	}

	@Test
	void keyWithoutAPrefixIsRefusedNotRun() {
		Reply reply = book(0, "just-a-caller-part");
		assertThat(reply.status(), is(400));
		assertThat(reply.body(), containsString("GET /v1/entry"));
		assertThat(reply.body(), containsString("\"execution\":\"not-run\""));
	}

}
