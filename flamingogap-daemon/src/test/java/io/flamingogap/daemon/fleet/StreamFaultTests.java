package io.flamingogap.daemon.fleet;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.flamingogap.testkit.backends.EngineFault;
import io.flamingogap.testkit.backends.FakeEngine;
import io.flamingogap.testkit.check.CallerClient;
import io.flamingogap.testkit.check.CallerClient.StreamReply;
import io.flamingogap.testkit.net.LinkMode;
import io.flamingogap.testkit.platform.FakeCloud;
import io.flamingogap.testkit.platform.LogMode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests that the caller of a token stream receives the complete answer to its own
 * request, and nothing else, while engines, nodes, connections or the platform log fail.
 */
class StreamFaultTests {

	private static final String MESSAGES = "[{\"role\":\"user\",\"content\":\"berth answer\"}]";

	private static final int TOKENS = 40;

	private final ExecutorService executor = Executors.newCachedThreadPool();

	private Fleet fleet;

	private CallerClient caller;

	@BeforeEach
	void startFleet() throws Exception {
		this.fleet = Fleet.start(2);
		this.caller = this.fleet.caller();
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
		this.executor.shutdownNow();
	}

	private StreamReply stream(int daemonNumber, Optional<String> lastEventId) {
		String body = "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":" + TOKENS + ",\"messages\":" + MESSAGES
				+ "}";
		return this.caller.stream(this.fleet.address(daemonNumber), body, lastEventId);
	}

	private static String expectedText(long first, long end) {
		return LongStream.range(first, end)
			.mapToObj((position) -> FakeEngine.token(MESSAGES, position))
			.collect(Collectors.joining());
	}

	@ParameterizedTest
	@EnumSource(value = EngineFault.class, names = { "STALL", "BREAK", "CROSS", "DOUBLE", "SKIP", "FAIL" })
	void answerIsWholeWhenAnEngineMisbehaves(EngineFault fault) {
		this.fleet.engine(0).setFault(fault, 10);
		for (int i = 0; i < 2; i++) {
			StreamReply reply = stream(0, Optional.empty());
			assertThat(reply.text(), is(expectedText(0, TOKENS)));
			assertThat(reply.whole(), is(true));
		}
	}

	@Test
	void silentEngineConnectionIsLeftWithinTheBound() throws Exception {
		Future<StreamReply> pending = this.executor.submit(() -> stream(0, Optional.empty()));
		this.fleet.await("the stream has begun",
				() -> this.fleet.engine(0).tokens() + this.fleet.engine(1).tokens() > 3);
		long silencedNanos = System.nanoTime();
		this.fleet.engineLink(0).silenceOpen();
		this.fleet.engineLink(1).silenceOpen();
		StreamReply reply = pending.get();
		long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silencedNanos);
		assertThat(reply.text(), is(expectedText(0, TOKENS)));
		assertThat("the silence bound is 300 ms, the rest of the answer takes 400 ms", tookMillis, lessThan(5_000L));
	}

	/**
	 * The polls for load reports leave an idle connection to each engine in the pool, and
	 * a stream that moves to another engine takes it.
	 */
	@Test
	void answerIsWholeWhenTheIdleConnectionsAreSilentToo() throws Exception {
		long reportsBefore = this.fleet.engine(1).loadReports();
		this.fleet.await("the engines were polled", () -> this.fleet.engine(1).loadReports() > reportsBefore);
		Future<StreamReply> pending = this.executor.submit(() -> stream(0, Optional.empty()));
		this.fleet.await("the stream has begun",
				() -> this.fleet.engine(0).tokens() + this.fleet.engine(1).tokens() > 3);
		this.fleet.engineLink(0).silenceOpen();
		this.fleet.engineLink(1).silenceOpen();
		StreamReply reply = pending.get();
		assertThat(reply.text(), is(expectedText(0, TOKENS)));
		assertThat(reply.whole(), is(true));
	}

	@Test
	void callerResumesAtAnotherNodeAfterAKill() throws Exception {
		Future<StreamReply> pending = this.executor.submit(() -> stream(0, Optional.empty()));
		this.fleet.await("the stream has begun",
				() -> this.fleet.engine(0).tokens() + this.fleet.engine(1).tokens() > 5);
		this.fleet.daemon(0).kill();
		StreamReply first = pending.get();
		List<String> ids = first.ids();
		assertThat(ids.size(), greaterThan(0));
		StreamReply rest = stream(1, Optional.of(ids.get(ids.size() - 1)));
		assertThat(first.text() + rest.text(), is(expectedText(0, TOKENS)));
		assertThat(rest.whole(), is(true));
	}

	@Test
	void callerThatResumesAfterTheLastTokenGetsTheEnd() {
		List<String> ids = stream(0, Optional.empty()).ids();
		StreamReply end = stream(1, Optional.of(ids.get(ids.size() - 1)));
		assertThat(end.text(), is(""));
		assertThat(end.whole(), is(true));
	}

	@Test
	void leavingEngineGetsNoNewWork() throws Exception {
		this.fleet.cloud().giveNotice("engine-0", System.currentTimeMillis() + 60_000);
		TimeUnit.MILLISECONDS.sleep(3_000);
		long requestsBefore = this.fleet.engine(0).requests();
		for (int i = 0; i < 6; i++) {
			assertThat(stream(i % 2, Optional.empty()).whole(), is(true));
		}
		assertThat(this.fleet.engine(0).requests(), is(requestsBefore));
	}

	@Test
	void engineMarkedInTheInstanceListGetsNoNewWork() throws Exception {
		this.fleet.cloud().putInstance(new FakeCloud.Instance("engine-1", "zone-0", "leaving", ""));
		TimeUnit.MILLISECONDS.sleep(3_000);
		long requestsBefore = this.fleet.engine(1).requests();
		for (int i = 0; i < 6; i++) {
			assertThat(stream(i % 2, Optional.empty()).whole(), is(true));
		}
		assertThat(this.fleet.engine(1).requests(), is(requestsBefore));
	}

	@Test
	void answerIsWholeWhenTheEngineIsReclaimedInTheMiddle() throws Exception {
		Future<StreamReply> pending = this.executor.submit(() -> stream(0, Optional.empty()));
		this.fleet.await("the stream has begun",
				() -> this.fleet.engine(0).tokens() + this.fleet.engine(1).tokens() > 5);
		int usedEngine = (this.fleet.engine(0).requests() > 0) ? 0 : 1;
		this.fleet.cloud().giveNotice("engine-" + usedEngine, System.currentTimeMillis() + 100);
		TimeUnit.MILLISECONDS.sleep(50);
		this.fleet.engineLink(usedEngine).setMode(LinkMode.CUT);
		StreamReply reply = pending.get();
		assertThat(reply.text(), is(expectedText(0, TOKENS)));
		assertThat(reply.whole(), is(true));
	}

	@Test
	void plannedStopCutsOffNoStream() throws Exception {
		Future<StreamReply> pending = this.executor.submit(() -> stream(0, Optional.empty()));
		this.fleet.await("the stream has begun",
				() -> this.fleet.engine(0).tokens() + this.fleet.engine(1).tokens() > 3);
		this.fleet.daemon(0).terminate();
		StreamReply reply = pending.get();
		assertThat(reply.text(), is(expectedText(0, TOKENS)));
		assertThat(reply.whole(), is(true));
	}

	@Test
	void streamGoesOnWhileTheLogIsDown() {
		this.fleet.log().setMode(LogMode.DOWN);
		assertThat(stream(0, Optional.empty()).whole(), is(true));
	}

	@Test
	void frozenNodeGoesOnWithTheWholeAnswer() throws Exception {
		Future<StreamReply> pending = this.executor.submit(() -> stream(0, Optional.empty()));
		this.fleet.await("the stream has begun",
				() -> this.fleet.engine(0).tokens() + this.fleet.engine(1).tokens() > 3);
		this.fleet.daemon(0).freeze();
		TimeUnit.MILLISECONDS.sleep(1_000);
		this.fleet.daemon(0).resume();
		StreamReply reply = pending.get();
		assertThat(reply.text(), is(expectedText(0, TOKENS)));
		assertThat(reply.whole(), is(true));
	}

}
