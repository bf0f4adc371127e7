package io.flamingogap.gateway.cloud;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;

import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import io.flamingogap.core.duty.Fencing;
import io.flamingogap.core.duty.UsageCounts;
import io.flamingogap.core.fleet.ServerPlan;
import io.flamingogap.gateway.node.ReportCodec;
import io.flamingogap.gateway.peers.ChannelWithFrozenTime;
import io.flamingogap.gateway.store.ForwardingStore;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.time.NodeClock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Checks three nodes with a {@link DutyRunner} each while the store loses answers,
 * executes calls late and returns from older copies, the duties pass on at any time,
 * nodes are killed and restarted, and calls to the cloud are lost or arrive late.
 */
class DutyRunnerPropertyTests {

	private static final long LEASE_MILLIS = 3_000;

	private static final long WINDOW_MILLIS = 5_000;

	private static final long STEP_MILLIS = 100;

	private static final long FAULTS_UNTIL_MILLIS = 40_000;

	private static final long END_MILLIS = 85_000;

	/** A window that ends between these times must be reported, since nothing fails. */
	private static final long CALM_FROM_MILLIS = 62_000;

	private static final long CALM_UNTIL_MILLIS = 72_000;

	private static final long START_OF_DAY_MILLIS = 1_796_600_000_000L;

	private static final int MACHINES = 3;

	/** Corrected clocks of nodes differ by less than this if nothing corrects them. */
	private static final long LARGE_SKEW_MILLIS = 1_500;

	private static final long SMALL_SKEW_MILLIS = 25;

	/** Other nodes' reports arrive within this time. */
	private static final long REPORT_MILLIS = 2_700;

	/** Keeps the level of the package, which the log manager only holds weakly. */
	private static final Logger LOGGER = Logger.getLogger(DutyRunner.class.getPackageName());

	@BeforeContainer
	static void muteLog() {
		LOGGER.setLevel(Level.OFF);
	}

	@AfterContainer
	static void restoreLog() {
		LOGGER.setLevel(null);
	}

	// A return of the store gave the offset of one claim to another, and two holders used
	// one token.
	@Property(tries = 300, seed = "20261207")
	void tokensRiseAndHaveOneHolderEachAcrossReturnsOfTheStore(@ForAll @LongRange(max = 10_000_000) long seed) {
		for (Fencing fencing : Fencing.values()) {
			Simulation simulation = run(seed, fencing, true, true);
			simulation.assertOneHolderForEachToken();
			simulation.assertTokensRise();
			simulation.assertHoldersDoNotAlternate();
		}
	}

	// The same failure with a store that doesn't number its timelines.
	@Property(tries = 300, seed = "20261207")
	void tokensRiseAndHaveOneHolderEachAcrossReturnsThatAreNotNumbered(@ForAll @LongRange(max = 10_000_000) long seed) {
		for (Fencing fencing : Fencing.values()) {
			Simulation simulation = run(seed, fencing, true, false);
			simulation.assertOneHolderForEachToken();
			simulation.assertTokensRise();
			simulation.assertHoldersDoNotAlternate();
		}
	}

	// A return of the store lost a usage report that had been sent, and the window
	// was counted anew.
	@Property(tries = 300, seed = "20261207")
	void windowsHaveOneReportEachAcrossReturnsOfTheStore(@ForAll @LongRange(max = 10_000_000) long seed) {
		for (Fencing fencing : Fencing.values()) {
			Simulation simulation = run(seed, fencing, true, true);
			simulation.assertOneReportForEachWindow();
			simulation.assertWindowsReportedOnceCalm();
		}
	}

	@Property(tries = 300, seed = "20261207")
	void holdersStayApartWhileTheStoreKeepsWhatItAcknowledged(@ForAll @LongRange(max = 10_000_000) long seed) {
		for (Fencing fencing : Fencing.values()) {
			Simulation simulation = run(seed, fencing, false, false);
			simulation.assertOneHolderForEachToken();
			simulation.assertTokensRise();
			simulation.assertHoldersDoNotAlternate();
			simulation.assertOneReportForEachWindow();
			simulation.assertWindowsReportedOnceCalm();
		}
	}

	// Processes that were suspended during a return act on what they knew before.
	@Property(tries = 300, seed = "20261207")
	void suspendedProcessesBreakNoRuleAcrossReturnsOfTheStore(@ForAll @LongRange(max = 10_000_000) long seed) {
		for (Fencing fencing : Fencing.values()) {
			Simulation simulation = new Simulation(new SplittableRandom(seed), fencing, true, true);
			simulation.suspends = true;
			simulation.play();
			simulation.assertOneHolderForEachToken();
			simulation.assertTokensRise();
			simulation.assertHoldersDoNotAlternate();
			simulation.assertOneReportForEachWindow();
			simulation.assertWindowsReportedOnceCalm();
		}
	}

	// The time of day that the other nodes had reported lags after a suspension of the
	// machine, so that a window which another node had reported counted as not ended.
	@Property(tries = 1_000, seed = "5")
	void suspendedMachinesCountNoWindowAnewAcrossReturnsOfTheStore(@ForAll @LongRange(max = 10_000_000) long seed) {
		for (Fencing fencing : Fencing.values()) {
			Simulation simulation = new Simulation(new SplittableRandom(seed), fencing, true, true);
			simulation.suspends = true;
			simulation.monotonicClockStops = true;
			simulation.play();
			simulation.assertOneHolderForEachToken();
			simulation.assertTokensRise();
			simulation.assertOneReportForEachWindow();
		}
	}

	private static Simulation run(long seed, Fencing fencing, boolean returns, boolean numbered) {
		Simulation simulation = new Simulation(new SplittableRandom(seed), fencing, returns, numbered);
		simulation.play();
		return simulation;
	}

	private static final class Simulation {

		private final SplittableRandom random;

		private final EmbeddedChannel channel = ChannelWithFrozenTime.create();

		private final Fencing fencing;

		private final boolean returns;

		private final long maxSkewMillis;

		private final ReturningStore store;

		private final ModelCloud cloud;

		private final Process[] processes = new Process[MACHINES];

		private final long[] startAtMillis = new long[MACHINES];

		private long nowMillis;

		private long returnAtMillis = Long.MAX_VALUE;

		private long processCount;

		private boolean suspends;

		private boolean monotonicClockStops;

		private Simulation(SplittableRandom random, Fencing fencing, boolean returns, boolean numbered) {
			this.random = random;
			this.fencing = fencing;
			this.returns = returns;
			this.maxSkewMillis = numbered ? LARGE_SKEW_MILLIS : SMALL_SKEW_MILLIS;
			this.store = new ReturningStore(random, this.channel.eventLoop(), () -> this.nowMillis, numbered);
			this.cloud = new ModelCloud(random, this.channel, fencing == Fencing.CHECKED_BY_CLOUD);
			for (int machine = 0; machine < MACHINES; machine++) {
				this.startAtMillis[machine] = random.nextInt(1_000);
			}
		}

		private void play() {
			while (this.nowMillis < END_MILLIS) {
				step();
			}
		}

		private void step() {
			boolean faulty = this.nowMillis < FAULTS_UNTIL_MILLIS;
			this.store.setFaulty(faulty);
			this.cloud.faulty = faulty;
			if (this.nowMillis % 500 == 0) {
				this.store.takeCopy();
			}
			stepStore(faulty);
			for (int machine = 0; machine < MACHINES; machine++) {
				stepMachine(machine, faulty);
			}
			this.nowMillis += STEP_MILLIS;
			this.channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
			this.channel.runPendingTasks();
			this.channel.runScheduledPendingTasks();
			for (Process process : this.processes) {
				if (process != null) {
					process.runTasks();
				}
			}
		}

		private void stepStore(boolean faulty) {
			if (faulty && this.random.nextInt(60) == 0) {
				this.store.reassignTo("node-" + this.random.nextInt(MACHINES));
			}
			if (faulty && this.returnAtMillis == Long.MAX_VALUE && this.random.nextInt(100) == 0) {
				this.store.setDown(true);
				this.returnAtMillis = this.nowMillis + this.random.nextInt(2_000);
			}
			if (this.nowMillis >= this.returnAtMillis) {
				if (this.returns) {
					this.store.returnFromCopy(this.random.nextInt(10_000));
				}
				this.store.setDown(false);
				this.returnAtMillis = Long.MAX_VALUE;
			}
		}

		private void stepMachine(int machine, boolean faulty) {
			Process process = this.processes[machine];
			if (process == null && this.nowMillis >= this.startAtMillis[machine]) {
				this.processes[machine] = new Process("node-" + machine);
			}
			else if (process != null && faulty && this.random.nextInt(200) == 0) {
				process.alive = false;
				this.processes[machine] = null;
				this.startAtMillis[machine] = this.nowMillis + 200 + this.random.nextInt(4_000);
			}
			else if (process != null && this.nowMillis >= process.suspendedUntilMillis) {
				process.countRequest();
				if (this.suspends && faulty && this.random.nextInt(150) == 0) {
					process.suspendedUntilMillis = this.nowMillis + 200 + this.random.nextInt(9_000);
				}
			}
		}

		private void assertOneHolderForEachToken() {
			Map<Long, Process> holders = new HashMap<>();
			for (Call call : this.cloud.sent) {
				holders.putIfAbsent(call.token, call.sender);
				assertThat("holder of token " + call.token, call.sender, is(holders.get(call.token)));
			}
		}

		private void assertTokensRise() {
			long lastToken = 0;
			for (ReturningStore.AcknowledgedAppend append : this.store.acknowledgedAppends()) {
				if (append.entry().key().startsWith("holder")) {
					long token = ReportCodec.decodeClaim(append.entry().value().orElseThrow()).get().token();
					assertThat("token of a claim", token, greaterThan(lastToken));
					lastToken = token;
				}
			}
		}

		/**
		 * Assert that no holder acts before and after another one within a lease, and
		 * that a holder doesn't act beside its successor if the cloud wouldn't refuse it.
		 */
		private void assertHoldersDoNotAlternate() {
			boolean cloudRefusesLowerTokens = this.fencing == Fencing.CHECKED_BY_CLOUD;
			Map<String, Long> lastCallAtMillis = new HashMap<>();
			Call previous = null;
			for (Call call : cloudRefusesLowerTokens ? this.cloud.accepted : this.cloud.sent) {
				if (previous != null && !previous.sender.name.equals(call.sender.name)) {
					long lastCall = lastCallAtMillis.getOrDefault(call.sender.name, Long.MIN_VALUE / 2);
					assertThat("milliseconds between two calls with another holder's in between",
							call.sentAtMillis - lastCall, greaterThanOrEqualTo(LEASE_MILLIS));
				}
				if (previous != null) {
					assertThat("token of a call", call.token, greaterThanOrEqualTo(previous.token));
				}
				lastCallAtMillis.put(call.sender.name, call.sentAtMillis);
				previous = call;
			}
		}

		private void assertOneReportForEachWindow() {
			Map<Long, Map<String, Long>> reports = new HashMap<>();
			for (Call call : this.cloud.accepted) {
				reports.putIfAbsent(call.window, call.requests);
				assertThat("report of window " + call.window, call.requests, is(reports.get(call.window)));
			}
		}

		private void assertWindowsReportedOnceCalm() {
			Set<Long> reported = this.cloud.accepted.stream().map(Call::window).collect(Collectors.toSet());
			long first = (START_OF_DAY_MILLIS + CALM_FROM_MILLIS) / WINDOW_MILLIS;
			long last = (START_OF_DAY_MILLIS + CALM_UNTIL_MILLIS) / WINDOW_MILLIS - 1;
			assertThat(last, greaterThanOrEqualTo(first));
			for (long window = first; window <= last; window++) {
				assertThat("report of window " + window, reported.contains(window), is(true));
			}
		}

		private final class Process {

			private final UsageCounts usage = new UsageCounts();

			private final String name;

			private final long skewMillis;

			private final long number = Simulation.this.processCount++;

			private final EmbeddedChannel ownChannel = ChannelWithFrozenTime.create();

			private boolean alive = true;

			private long requestCount;

			private long suspendedUntilMillis;

			private long ranAtMillis = Simulation.this.nowMillis;

			private long lostMillis;

			private long correctionLagMillis;

			private long correctionLagUntilMillis;

			private Process(String name) {
				Simulation simulation = Simulation.this;
				this.name = name;
				this.skewMillis = simulation.random.nextLong(2 * simulation.maxSkewMillis + 1)
						- simulation.maxSkewMillis;
				NodeClock clock = new NodeClock(
						() -> TimeUnit.MILLISECONDS.toNanos(simulation.nowMillis - this.lostMillis),
						this::timeOfDayMillis);
				new DutyRunner(DutyRunnerDependencies.create(this.ownChannel.eventLoop(),
						new DeferredStore(simulation.store.clientOf(name, () -> this.alive)),
						new DeferredCloud(simulation.cloud.clientOf(this)), clock, this::correctedTimeOfDayMillis,
						() -> 0, this.usage, name, simulation.nowMillis < 1_000), LEASE_MILLIS, simulation.fencing,
						WINDOW_MILLIS)
					.start();
			}

			/** The correction lags until other nodes have reported again. */
			private long correctedTimeOfDayMillis() {
				boolean lags = Simulation.this.nowMillis < this.correctionLagUntilMillis
						&& this.correctionLagMillis > LARGE_SKEW_MILLIS;
				return timeOfDayMillis() - (lags ? this.correctionLagMillis : 0);
			}

			private void runTasks() {
				long now = Simulation.this.nowMillis;
				if (now < this.suspendedUntilMillis) {
					return;
				}
				long passedMillis = now - this.ranAtMillis;
				if (Simulation.this.monotonicClockStops && passedMillis > STEP_MILLIS) {
					this.correctionLagMillis = passedMillis - STEP_MILLIS;
					this.correctionLagUntilMillis = now + REPORT_MILLIS;
					this.lostMillis += this.correctionLagMillis;
					passedMillis = STEP_MILLIS;
				}
				this.ownChannel.advanceTimeBy(passedMillis, TimeUnit.MILLISECONDS);
				this.ranAtMillis = now;
				this.ownChannel.runPendingTasks();
				this.ownChannel.runScheduledPendingTasks();
			}

			private <T> CompletableFuture<T> defer(CompletableFuture<T> answer, Runnable beforeDelivery) {
				CompletableFuture<T> result = new CompletableFuture<>();
				answer.whenComplete((value, failure) -> this.ownChannel.eventLoop().execute(() -> {
					beforeDelivery.run();
					if (failure != null) {
						result.completeExceptionally(failure);
					}
					else {
						result.complete(value);
					}
				}));
				return result;
			}

			private long nowMillis() {
				return Simulation.this.nowMillis;
			}

			private long timeOfDayMillis() {
				return START_OF_DAY_MILLIS + Simulation.this.nowMillis + this.skewMillis;
			}

			/**
			 * Count a request in the recent windows, so that a report that is made again
			 * differs.
			 */
			private void countRequest() {
				this.requestCount++;
				long window = timeOfDayMillis() / WINDOW_MILLIS;
				for (long recent = window - 4; recent <= window; recent++) {
					this.usage.merge(recent, Map.of("account-" + this.number, this.requestCount));
				}
			}

			@Override
			public String toString() {
				return this.name + "/" + this.number;
			}

			/** Delivers answers once the process runs. */
			private final class DeferredStore extends ForwardingStore {

				private long shownTimeline;

				private DeferredStore(RecordStore store) {
					super(store);
				}

				private <T> CompletableFuture<T> deliver(CompletableFuture<T> answer) {
					AtomicLong shown = new AtomicLong();
					answer.whenComplete((value, failure) -> shown.set(super.timeline()));
					return defer(answer, () -> this.shownTimeline = Math.max(this.shownTimeline, shown.get()));
				}

				@Override
				public CompletableFuture<Page> listNewest(StoreStream stream, Optional<String> after) {
					return deliver(super.listNewest(stream, after));
				}

				@Override
				public CompletableFuture<Long> append(StoreStream stream, String key, Optional<byte[]> value,
						OptionalLong expectedOffset) {
					return deliver(super.append(stream, key, value, expectedOffset));
				}

				@Override
				public CompletableFuture<GroupView> join(String member, long generation, long ttlMillis) {
					return deliver(super.join(member, generation, ttlMillis));
				}

				@Override
				public long timeline() {
					return this.shownTimeline;
				}

			}

			private final class DeferredCloud implements CloudApi {

				private final CloudApi delegate;

				private DeferredCloud(CloudApi delegate) {
					this.delegate = delegate;
				}

				@Override
				public CompletableFuture<Verdict> reportUsage(long token, long window, Map<String, Long> requests) {
					return defer(this.delegate.reportUsage(token, window, requests), () -> {
					});
				}

				@Override
				public CompletableFuture<Verdict> orderServers(long token, ServerPlan plan) {
					return this.delegate.orderServers(token, plan);
				}

				@Override
				public void abortCalls() {
					this.delegate.abortCalls();
				}

			}

		}

	}

	private record Call(Simulation.Process sender, long sentAtMillis, long token, long window,
			Map<String, Long> requests) {
	}

	private static final class ModelCloud {

		private static final long TIMEOUT_MILLIS = 2_000;

		private static final long MAX_LATE_MILLIS = 6_000;

		private final SplittableRandom random;

		private final EmbeddedChannel channel;

		private final boolean checksTokens;

		private final List<Call> sent = new ArrayList<>();

		private final List<Call> accepted = new ArrayList<>();

		/** Whether calls that took effect are answered like refused ones while faulty. */
		private final boolean failing;

		private long highestToken = Long.MIN_VALUE;

		private boolean faulty;

		private ModelCloud(SplittableRandom random, EmbeddedChannel channel, boolean checksTokens) {
			this.random = random;
			this.channel = channel;
			this.checksTokens = checksTokens;
			this.failing = random.nextInt(4) == 0;
		}

		private CloudApi clientOf(Simulation.Process sender) {
			return new Client(sender);
		}

		private CloudApi.Verdict receive(Call call) {
			if (this.checksTokens && call.token < this.highestToken) {
				return CloudApi.Verdict.FENCED;
			}
			this.highestToken = Math.max(this.highestToken, call.token);
			this.accepted.add(call);
			return CloudApi.Verdict.ACCEPTED;
		}

		private final class Client implements CloudApi {

			private final Simulation.Process sender;

			private final List<CompletableFuture<Verdict>> open = new ArrayList<>();

			private Client(Simulation.Process sender) {
				this.sender = sender;
			}

			@Override
			public CompletableFuture<Verdict> reportUsage(long token, long window, Map<String, Long> requests) {
				CompletableFuture<Verdict> result = new CompletableFuture<>();
				if (!this.sender.alive) {
					return result;
				}
				ModelCloud cloud = ModelCloud.this;
				Call call = new Call(this.sender, this.sender.nowMillis(), token, window, requests);
				cloud.sent.add(call);
				this.open.add(result);
				int kind = cloud.faulty ? cloud.random.nextInt(10) : 9;
				if (cloud.faulty && cloud.failing) {
					kind = 0;
				}
				if (kind == 0) {
					after(50, () -> answer(result,
							(cloud.receive(call) != Verdict.FENCED) ? Verdict.REFUSED : Verdict.FENCED));
				}
				else if (kind <= 3) {
					after(TIMEOUT_MILLIS, () -> answer(result, Verdict.UNKNOWN));
					after((kind == 1) ? cloud.random.nextLong(MAX_LATE_MILLIS) : 50, () -> cloud.receive(call));
				}
				else {
					after(cloud.random.nextLong(200), () -> {
						if (!result.isDone()) {
							Verdict verdict = cloud.receive(call);
							after(cloud.random.nextLong(200), () -> answer(result, verdict));
						}
					});
				}
				return result;
			}

			private void answer(CompletableFuture<Verdict> result, Verdict verdict) {
				this.open.remove(result);
				if (this.sender.alive) {
					result.complete(verdict);
				}
			}

			private void after(long delayMillis, Runnable task) {
				ModelCloud.this.channel.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
			}

			@Override
			public CompletableFuture<Verdict> orderServers(long token, ServerPlan plan) {
				throw new UnsupportedOperationException("no servers are ordered here");
			}

			@Override
			public void abortCalls() {
				List.copyOf(this.open).forEach((result) -> answer(result, Verdict.UNKNOWN));
			}

		}

	}

}
