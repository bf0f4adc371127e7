package io.flamingogap.daemon.fleet;

import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.flamingogap.testkit.check.CallerClient;
import io.flamingogap.testkit.check.CallerClient.Reply;
import io.flamingogap.testkit.net.LinkMode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests that accepted requests are handed over to a successor and executed once when
 * nodes are reclaimed or stopped.
 */
class HandoverFaultTests {

	private static final String BODY = "{\"lot\":17}";

	private static final String PATH = "/services/desk/bookings";

	private static final long NOTICE_MILLIS = 5_000;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private Fleet fleet;

	private CallerClient caller;

	private void startFleet(int nodes) throws Exception {
		this.fleet = Fleet.start(nodes);
		this.caller = this.fleet.caller();
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
		this.executor.shutdownNow();
	}

	private String newKey(int daemon) {
		return this.caller.newKey(this.fleet.entryOf(daemon));
	}

	/**
	 * Book as docs/INTERFACE.md requires of callers: follow redirects, and retry with the
	 * same key at another node while the outcome is unknown.
	 */
	private Reply bookWithRetries(int daemon, String key) throws Exception {
		Reply reply = null;
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(12);
		for (int node = daemon; System.nanoTime() < deadlineNanos; node = (node + 1) % this.fleet.size()) {
			try {
				reply = this.caller.call(this.fleet.address(node), "POST", PATH, Optional.of(key), BODY);
				if (reply.status() == 201) {
					return reply;
				}
			}
			catch (UncheckedIOException ex) {
				TimeUnit.MILLISECONDS.sleep(50);
			}
		}
		return reply;
	}

	private int executions(String key) {
		return this.fleet.plainService().executions().getOrDefault(key, 0);
	}

	private void announceReclaim(int daemon, long atMillis) {
		this.fleet.cloud().giveNotice("entry-" + daemon, atMillis);
	}

	@Test
	void reclaimOfANodeKeepsItsAcceptedRequests() throws Exception {
		startFleet(3);
		this.fleet.plainServiceLink().setMode(LinkMode.REFUSE);
		String key = newKey(0);
		Future<Reply> accepted = this.executor.submit(() -> bookWithRetries(0, key));
		this.fleet.await("the request is accepted",
				() -> this.fleet.operatorGet(0, "status").get("openRequests").asInt() == 1);
		long reclaimAtMillis = System.currentTimeMillis() + NOTICE_MILLIS;
		announceReclaim(0, reclaimAtMillis);
		this.fleet.await("the node drains", () -> this.fleet.countServingNodes(1) == 2);
		TimeUnit.MILLISECONDS.sleep(reclaimAtMillis - System.currentTimeMillis());
		this.fleet.daemon(0).kill();
		this.fleet.plainServiceLink().setMode(LinkMode.PASS);
		assertThat(accepted.get().status(), is(201));
		assertThat(executions(key), is(1));
	}

	@Test
	void reclaimOfASuccessorAsWellKeepsTheRequests() throws Exception {
		startFleet(3);
		String key = newKey(0);
		assertThat(bookWithRetries(0, key).status(), is(201));
		this.fleet.operatorPost(0, "drain");
		this.fleet.await("the first node has stopped", () -> !this.fleet.daemon(0).process().isAlive());
		int successor = this.fleet.ownerIndex(1, key, 2);
		long reclaimAtMillis = System.currentTimeMillis() + NOTICE_MILLIS;
		announceReclaim(successor, reclaimAtMillis);
		int remainingNode = 3 - successor;
		this.fleet.await("the keys are handed over",
				() -> this.fleet.ownerIndex(remainingNode, key, successor) == remainingNode);
		this.fleet.daemon(successor).kill();
		assertThat(this.caller.call(this.fleet.address(remainingNode), "POST", PATH, Optional.of(key), BODY).status(),
				is(201));
		assertThat(executions(key), is(1));
	}

	@Test
	void reclaimOfAZoneWithTwoOfSixNodesKeepsTheRequests() throws Exception {
		startFleet(6);
		this.fleet.plainService().setAnswerMillis(500);
		String firstKey = newKey(0);
		String secondKey = newKey(1);
		Future<Reply> firstReply = this.executor.submit(() -> bookWithRetries(0, firstKey));
		Future<Reply> secondReply = this.executor.submit(() -> bookWithRetries(1, secondKey));
		long reclaimAtMillis = System.currentTimeMillis() + NOTICE_MILLIS;
		announceReclaim(0, reclaimAtMillis);
		announceReclaim(1, reclaimAtMillis);
		TimeUnit.MILLISECONDS.sleep(reclaimAtMillis - System.currentTimeMillis());
		this.fleet.daemon(0).kill();
		this.fleet.daemon(1).kill();
		assertThat(firstReply.get().status(), is(201));
		assertThat(secondReply.get().status(), is(201));
		assertThat(bookWithRetries(2, firstKey), is(firstReply.get()));
		assertThat(bookWithRetries(3, secondKey), is(secondReply.get()));
		assertThat(executions(firstKey), is(1));
		assertThat(executions(secondKey), is(1));
	}

	@Test
	void plannedStopWaitsForTheBookingInFlight() throws Exception {
		startFleet(2);
		this.fleet.plainService().setAnswerMillis(2_500);
		String key = newKey(0);
		Future<Reply> inFlight = this.executor
			.submit(() -> this.caller.call(this.fleet.address(0), "POST", PATH, Optional.of(key), BODY));
		this.fleet.await("the booking has reached the service", () -> executions(key) == 1);
		this.fleet.daemon(0).terminate();
		assertThat(inFlight.get().status(), is(201));
		this.fleet.await("the node has stopped", () -> !this.fleet.daemon(0).process().isAlive());
		assertThat(this.caller.call(this.fleet.address(1), "POST", PATH, Optional.of(key), BODY), is(inFlight.get()));
		assertThat(executions(key), is(1));
	}

	@Test
	void commitWhoseReplyIsLostTakesEffectOnce() throws Exception {
		startFleet(2);
		String key = newKey(0);
		assertThat(bookWithRetries(0, key).status(), is(201));
		this.fleet.operatorPost(0, "drain");
		this.fleet.await("the node drains", () -> this.fleet.countServingNodes(1) == 1);
		TimeUnit.MILLISECONDS.sleep(700);
		this.fleet.nodeLink(1).setMode(LinkMode.DROP_REPLIES);
		TimeUnit.MILLISECONDS.sleep(1_200);
		this.fleet.nodeLink(1).setMode(LinkMode.REFUSE);
		this.fleet.nodeLink(1).setMode(LinkMode.PASS);
		this.fleet.await("the node has stopped", () -> !this.fleet.daemon(0).process().isAlive());
		Reply retryReply = this.caller.call(this.fleet.address(1), "POST", PATH, Optional.of(key), BODY);
		assertThat(retryReply.status(), anyOf(is(201), is(502)));
		assertThat(executions(key), is(1));
	}

	@Test
	void frozenSuccessorResumesAndNothingIsExecutedTwice() throws Exception {
		startFleet(3);
		String key = newKey(0);
		assertThat(bookWithRetries(0, key).status(), is(201));
		this.fleet.operatorPost(0, "drain");
		this.fleet.await("the node drains", () -> this.fleet.countServingNodes(1) == 2);
		this.fleet.daemon(1).freeze();
		this.fleet.await("the node has stopped", () -> !this.fleet.daemon(0).process().isAlive());
		this.fleet.daemon(1).resume();
		this.fleet.await("the node is reachable again", () -> this.fleet.countServingNodes(2) == 2);
		Reply retryReply = bookWithRetries(2, key);
		assertThat(retryReply.status(), is(201));
		assertThat(executions(key), is(1));
	}

	@Test
	void secondNoticeThatIsShorterIsHonoured() throws Exception {
		startFleet(2);
		String key = newKey(0);
		assertThat(bookWithRetries(0, key).status(), is(201));
		long nowMillis = System.currentTimeMillis();
		announceReclaim(0, nowMillis + 60_000);
		this.fleet.await("the node drains", () -> this.fleet.countServingNodes(1) == 1);
		long reclaimAtMillis = System.currentTimeMillis() + NOTICE_MILLIS;
		announceReclaim(0, reclaimAtMillis);
		this.fleet.await("the keys are handed over", () -> this.fleet.ownerIndex(1, key, 0) == 1);
		assertThat(System.currentTimeMillis() < reclaimAtMillis, is(true));
		assertThat(bookWithRetries(1, key).status(), is(201));
		assertThat(executions(key), is(1));
	}

}
