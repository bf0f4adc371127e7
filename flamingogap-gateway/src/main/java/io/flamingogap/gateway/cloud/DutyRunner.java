package io.flamingogap.gateway.cloud;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.core.duty.DutyClaim;
import io.flamingogap.core.duty.DutyTerm;
import io.flamingogap.core.duty.Fencing;
import io.flamingogap.core.duty.FencingTokens;
import io.flamingogap.core.fleet.ServerPlan;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.node.ReportCodec;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.time.LoggedTask;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Takes part in the election of the node that holds the duties: to report usage to the
 * cloud, to order servers and to publish the progress of rollouts. While this node is the
 * holder, it does these tasks, one call at a time.
 */
public final class DutyRunner {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long TICK_INTERVAL_MILLIS = 500;

	/** How long the store keeps a membership that isn't renewed. */
	private static final long MEMBERSHIP_TTL_MILLIS = 3_000;

	/** The time between calls that renew the membership. */
	private static final long JOIN_INTERVAL_MILLIS = 1_000;

	/**
	 * A larger change of the difference between the time of day and the monotonic clock
	 * is taken for a suspension of the machine. A step of the time of day has the same
	 * effect.
	 */
	private static final long SUSPENSION_THRESHOLD_MILLIS = 500;

	/**
	 * How long a claim waits for this node's clock and those of the other nodes to agree.
	 * Reports that are read meanwhile renew what is known of the others' clocks.
	 */
	private static final long MAX_CLOCK_WAIT_MILLIS = 5_000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final DutyDependencies dependencies;

	private final EventLoop loop;

	private final RecordStore store;

	private final NodeClock clock;

	private final DutyTerm term;

	private final FencingTokens tokens = new FencingTokens();

	private final long leaseMillis;

	private final UsageReportSchedule usageReports;

	private final ServerOrderPlanner serverOrders;

	private long generation;

	private long lastJoinAtMillis = NEVER;

	/** The end of the stream of duty records after this node's last append. */
	private long endOffset;

	private long startedAtMillis;

	private long timeline = RecordStore.UNNUMBERED_TIMELINE;

	/** When the store first answered, by the monotonic clock. */
	private OptionalLong storeAnsweredAtMillis = OptionalLong.empty();

	/** Whether the store has lost records since this node first heard from it. */
	private boolean storeReturned;

	/** The number of returns of a store that doesn't number its timelines. */
	private int unnumberedReturns;

	/** The {@link #unnumberedReturns} before this node's last claim. */
	private int claimedUnnumberedReturns;

	private long lastClockDifferenceMillis;

	/** Since when a claim waits for the clocks to agree; empty if none does. */
	private OptionalLong clocksDifferSinceMillis = OptionalLong.empty();

	private boolean joinPending;

	private boolean dutyInProgress;

	/** Lets one other duty go first after a usage report was not accepted. */
	private boolean usageDeferred;

	private boolean stopped;

	/**
	 * Create a runner that hasn't joined the group yet.
	 * @param dependencies its collaborators
	 * @param leaseMillis the lease in milliseconds; a node that regains the duties waits
	 * until this time has passed since it last acted, so that the actions of two holders
	 * never alternate within a lease
	 * @param fencing who keeps a previous holder from acting
	 * @param usageWindowMillis the length of a usage window in milliseconds
	 */
	public DutyRunner(DutyDependencies dependencies, long leaseMillis, Fencing fencing, long usageWindowMillis) {
		this.dependencies = dependencies;
		this.loop = dependencies.loop();
		this.store = dependencies.store();
		this.clock = dependencies.clock();
		this.term = new DutyTerm(leaseMillis, fencing);
		this.leaseMillis = leaseMillis;
		this.usageReports = new UsageReportSchedule(usageWindowMillis, dependencies.totals()::usageInWindow,
				dependencies.totals()::allNodesReportedWithin);
		this.serverOrders = new ServerOrderPlanner(dependencies.servers(), dependencies.rollouts()::runningMillis,
				dependencies.firstStart(), dependencies.evacuatedZones());
	}

	/**
	 * Start taking part in the group.
	 */
	public void start() {
		this.startedAtMillis = this.clock.steadyMillis();
		if (!this.dependencies.firstStart()) {
			// An earlier run of this node may have acted until now.
			this.term.recordAction(this.startedAtMillis);
		}
		this.lastClockDifferenceMillis = clockDifferenceMillis();
		this.loop.scheduleWithFixedDelay(LoggedTask.of("duties", this::tick), 0, TICK_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Leave the group, so that another node can take over at once.
	 */
	public void stop() {
		this.stopped = true;
		this.term.recordLost();
		this.dependencies.cloud().abortCalls();
		this.store.leave(this.dependencies.memberName()).exceptionally((failure) -> {
			logFailure("group not left", failure);
			return null;
		});
	}

	private static void logFailure(String event, Throwable failure) {
		logger.atInfo().log("%s", LogLine.of(event).with("reason", StoreException.of(failure).getMessage()));
	}

	private long clockDifferenceMillis() {
		return this.clock.timeOfDayMillis() - this.clock.steadyMillis();
	}

	private void tick() {
		if (this.stopped) {
			return;
		}
		long nowMillis = this.clock.steadyMillis();
		endTermIfStoreReturned();
		endTermIfSuspended();
		if (this.dutyInProgress && this.term.mustEndCalls(nowMillis)) {
			this.dependencies.cloud().abortCalls();
		}
		if (!this.joinPending && nowMillis - this.lastJoinAtMillis >= JOIN_INTERVAL_MILLIS) {
			join(nowMillis);
		}
		if (this.dutyInProgress) {
			return;
		}
		if (this.term.shouldClaim(nowMillis)) {
			claim();
			return;
		}
		this.term.validToken(nowMillis).ifPresent((token) -> performNextDuty(token, nowMillis));
	}

	/**
	 * End the term after a suspension of the machine. The monotonic clock stops during a
	 * suspension, so that an expired confirmation would seem to be valid.
	 */
	private void endTermIfSuspended() {
		long difference = clockDifferenceMillis();
		if (Math.abs(difference - this.lastClockDifferenceMillis) > SUSPENSION_THRESHOLD_MILLIS) {
			this.term.recordLost();
		}
		this.lastClockDifferenceMillis = difference;
	}

	/**
	 * End the term if an answer of the store has shown a new timeline. The claim and the
	 * state of the group may be lost, and what is known of the end of the stream is
	 * wrong.
	 */
	private void endTermIfStoreReturned() {
		long newTimeline = this.store.timeline();
		if (newTimeline == this.timeline) {
			return;
		}
		long oldTimeline = this.timeline;
		this.timeline = newTimeline;
		if (this.storeAnsweredAtMillis.isEmpty()) {
			return;
		}
		long nowMillis = this.clock.steadyMillis();
		this.term.validToken(nowMillis)
			.ifPresent((token) -> logger.atInfo()
				.log("%s",
						LogLine.of("duty term ended")
							.with("reason", "the store returned from a copy")
							.with("token", token)
							.with("fromTimeline", oldTimeline)
							.with("toTimeline", newTimeline)));
		endTerm(nowMillis);
	}

	/**
	 * End the term if the store doesn't number its timelines and another of its streams
	 * has turned out to be shorter than it was. A return that is numbered shows in the
	 * answers to this runner's own calls.
	 */
	public void onStoreRestored() {
		if (this.stopped || this.timeline != RecordStore.UNNUMBERED_TIMELINE) {
			return;
		}
		this.unnumberedReturns++;
		logger.atInfo().log("%s", LogLine.of("duty term ended").with("reason", "a stream of the store was shortened"));
		endTerm(this.clock.steadyMillis());
	}

	private void endTerm(long nowMillis) {
		this.storeReturned = true;
		this.generation = 0;
		this.endOffset = 0;
		this.lastJoinAtMillis = NEVER;
		this.term.recordLost();
		if (this.dutyInProgress && this.term.mustEndCalls(nowMillis)) {
			this.dependencies.cloud().abortCalls();
		}
	}

	/**
	 * Evaluate an answer of the store.
	 * @param timelineAtCall the timeline when the call was made
	 * @return whether the answer is of the same timeline
	 */
	private boolean isOfTimeline(long timelineAtCall) {
		endTermIfStoreReturned();
		return this.timeline == timelineAtCall;
	}

	private void join(long nowMillis) {
		this.joinPending = true;
		this.lastJoinAtMillis = nowMillis;
		long timelineAtCall = this.timeline;
		this.store.join(this.dependencies.memberName(), this.generation, MEMBERSHIP_TTL_MILLIS)
			.whenComplete((view, failure) -> {
				this.joinPending = false;
				if (this.stopped) {
					return;
				}
				if (failure != null) {
					logFailure("membership not kept", failure);
					return;
				}
				boolean isCurrent = isOfTimeline(timelineAtCall);
				if (this.storeAnsweredAtMillis.isEmpty()) {
					this.storeAnsweredAtMillis = OptionalLong.of(this.clock.steadyMillis());
				}
				if (!isCurrent) {
					this.lastJoinAtMillis = NEVER;
					this.loop.execute(this::tick);
					return;
				}
				this.generation = view.generation();
				this.term.recordHolderStatus(view.holdsDuties(), nowMillis);
			});
	}

	private void claim() {
		this.dutyInProgress = true;
		if (this.timeline == RecordStore.UNNUMBERED_TIMELINE) {
			claimUnlessStoreReturned();
		}
		else {
			listAndClaim();
		}
	}

	/**
	 * Claim the duties if the store still has the reports of the nodes that this node has
	 * read. Otherwise it has returned from an earlier copy, and the records of the duties
	 * may look complete.
	 */
	private void claimUnlessStoreReturned() {
		long nextReportOffset = this.dependencies.nextReportOffset().getAsLong();
		this.store.listNewest(StoreStream.NODES, Optional.empty()).whenComplete((page, failure) -> {
			if (failure == null && page.endOffset() >= nextReportOffset) {
				listAndClaim();
				return;
			}
			this.dutyInProgress = false;
			if (failure != null) {
				logFailure("reports not listed before a claim", failure);
			}
			else {
				onStoreRestored();
			}
		});
	}

	private void listAndClaim() {
		long timelineAtCall = this.timeline;
		this.store.listNewest(StoreStream.DUTIES, Optional.empty()).whenComplete((page, failure) -> {
			this.dutyInProgress = false;
			if (failure != null) {
				logFailure("duties not listed before a claim", failure);
			}
			else if (isOfTimeline(timelineAtCall)) {
				claim(DutyListing.of(page), page.endOffset());
			}
		});
	}

	private void claim(DutyListing listing, long expectedOffset) {
		boolean shortened = this.unnumberedReturns != this.claimedUnnumberedReturns || expectedOffset < this.endOffset;
		this.storeReturned |= shortened;
		listing.highestToken().ifPresent(this.tokens::recordSeen);
		UsageHistory history = listing.usageHistory(this.storeReturned, shortened);
		long timeOfDayMillis = this.dependencies.correctedTimeOfDayMillis().getAsLong();
		if (history.certainty() != UsageHistory.Certainty.CERTAIN && mustWaitForClocks(timeOfDayMillis)) {
			return;
		}
		OptionalLong token = this.tokens.next(this.timeline, timeOfDayMillis);
		if (token.isEmpty()) {
			logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log("%s", LogLine.of("no fencing token left"));
			return;
		}
		long nowMillis = this.clock.steadyMillis();
		long heardForMillis = nowMillis - this.storeAnsweredAtMillis.orElse(nowMillis);
		UsageReportSchedule.TakeOver plan = this.usageReports.planTakeOver(history, timeOfDayMillis - heardForMillis,
				timeOfDayMillis);
		boolean claimedBefore = listing.hasClaim() || !isFirstOfAll();
		DutyClaim claim = new DutyClaim(this.dependencies.memberName(), token.getAsLong(), this.timeline,
				plan.knownSettledWindow());
		this.dutyInProgress = true;
		appendRecord(DutyListing.claimKey(this.timeline), ReportCodec.encodeClaim(claim), expectedOffset, () -> {
			this.claimedUnnumberedReturns = this.unnumberedReturns;
			this.clocksDifferSinceMillis = OptionalLong.empty();
			this.term.recordClaim(claim.token(), claimedBefore, this.clock.steadyMillis());
			this.serverOrders.forgetAcceptedOrders();
			LogLine line = LogLine.of("duties claimed")
				.with("token", claim.token())
				.with("offset", expectedOffset)
				.with("timeline", claim.timeline())
				.with("claimedBefore", claimedBefore)
				.with("generation", this.generation)
				.with("usageHistory", history.certainty().name());
			claim.settledWindow().ifPresent((window) -> line.with("settledWindow", window));
			logger.atInfo().log("%s", line);
			this.usageReports.takeOver(plan);
			this.loop.execute(this::tick);
		});
	}

	/**
	 * Return whether a claim that leaves out windows must wait, because it isn't known
	 * which windows have ended: after a suspension of the machine, the clocks of the
	 * other nodes seem to be late until they have reported again, and after a step of the
	 * time of day this node's own clock is wrong.
	 * @param correctedMillis the corrected time of day in milliseconds since 1970 UTC
	 * @return {@code true} if the clocks differ and the claim hasn't waited long enough
	 */
	private boolean mustWaitForClocks(long correctedMillis) {
		long nowMillis = this.clock.steadyMillis();
		if (correctedMillis == this.clock.timeOfDayMillis()) {
			this.clocksDifferSinceMillis = OptionalLong.empty();
			return false;
		}
		if (this.clocksDifferSinceMillis.isEmpty()) {
			this.clocksDifferSinceMillis = OptionalLong.of(nowMillis);
			logger.atInfo()
				.log("%s", LogLine.of("claim waits for clocks")
					.with("correctedByMillis", correctedMillis - this.clock.timeOfDayMillis()));
		}
		return nowMillis - this.clocksDifferSinceMillis.getAsLong() < MAX_CLOCK_WAIT_MILLIS;
	}

	/**
	 * Return whether no node can have claimed the duties if the store shows no claim. A
	 * copy from before the first claim doesn't show it either.
	 * @return {@code true} if all nodes have just started for the first time
	 */
	private boolean isFirstOfAll() {
		return this.dependencies.firstStart() && !this.storeReturned
				&& this.clock.steadyMillis() - this.startedAtMillis <= this.leaseMillis;
	}

	private void appendRecord(String key, byte[] value, long expectedOffset, Runnable onAppended) {
		long timelineAtCall = this.timeline;
		int returnsAtCall = this.unnumberedReturns;
		this.store.append(StoreStream.DUTIES, key, Optional.of(value), OptionalLong.of(expectedOffset))
			.whenComplete((offset, failure) -> {
				this.dutyInProgress = false;
				boolean isCurrent = isOfTimeline(timelineAtCall) && this.unnumberedReturns == returnsAtCall;
				if (failure != null || !isCurrent) {
					String reason = (failure != null) ? StoreException.of(failure).getMessage()
							: "the store returned from a copy";
					logger.atInfo()
						.log("%s",
								LogLine.of("duty record not kept")
									.with("key", key)
									.with("reason", reason + " (expected offset " + expectedOffset + ")"));
					this.term.recordLost();
					return;
				}
				this.endOffset = offset + 1;
				onAppended.run();
			});
	}

	private void performNextDuty(long token, long nowMillis) {
		Optional<UsageReportSchedule.Report> pending = this.usageReports.pendingReport();
		boolean deferred = this.usageDeferred;
		this.usageDeferred = false;
		if (pending.isPresent() && !deferred) {
			this.term.recordAction(nowMillis);
			sendUsage(token, pending.get());
			return;
		}
		Optional<UsageReportSchedule.Report> due = pending.isPresent() ? Optional.empty()
				: this.usageReports.nextReport(this.dependencies.correctedTimeOfDayMillis().getAsLong());
		if (due.isPresent()) {
			storeUsage(token, due.get());
			return;
		}
		Optional<RecordCodec.RolloutStatus> unpublished = this.dependencies.rollouts()
			.unpublishedStatuses()
			.stream()
			.findFirst();
		if (unpublished.isPresent()) {
			publishStatus(unpublished.get());
			return;
		}
		this.dependencies.config()
			.current()
			.filter((config) -> this.dependencies.serversListed().getAsBoolean())
			.flatMap((config) -> this.serverOrders.nextOrder(config, this.dependencies.totals(), nowMillis))
			.ifPresent((plan) -> orderServers(token, plan));
	}

	private void storeUsage(long token, UsageReportSchedule.Report report) {
		this.dutyInProgress = true;
		ReportCodec.StoredUsage record = new ReportCodec.StoredUsage(report.window(), report.requests(),
				OptionalLong.of(token), this.timeline);
		appendRecord(DutyListing.USAGE_KEY, ReportCodec.encodeUsageReport(record), this.endOffset, () -> {
			this.usageReports.recordStored(report);
			logUsage("usage stored", report, "offset", this.endOffset - 1);
			this.loop.execute(this::tick);
		});
	}

	private void sendUsage(long token, UsageReportSchedule.Report report) {
		this.dutyInProgress = true;
		logUsage("usage sent", report, "token", token);
		this.dependencies.cloud()
			.reportUsage(token, report.window(), report.requests())
			.whenComplete((verdict, failure) -> {
				this.dutyInProgress = false;
				if (verdict == CloudApi.Verdict.ACCEPTED) {
					this.usageReports.recordSent();
					this.loop.execute(this::tick);
				}
				else {
					this.usageDeferred = true;
					onCloudFailure("usage", verdict);
				}
			});
	}

	private static void logUsage(String event, UsageReportSchedule.Report report, String positionName, long position) {
		logger.atInfo()
			.log("%s",
					LogLine.of(event)
						.with("window", report.window())
						.with("requests", report.totalRequests())
						.with(positionName, position));
	}

	private void publishStatus(RecordCodec.RolloutStatus status) {
		this.dutyInProgress = true;
		StoredRecord entry = this.dependencies.codec().encodeStatus(status);
		this.store.append(StoreStream.STATUS, entry.key(), entry.value(), OptionalLong.empty())
			.whenComplete((offset, failure) -> {
				this.dutyInProgress = false;
				if (failure != null) {
					logFailure("rollout status not told", failure);
					return;
				}
				this.dependencies.rollouts().recordPublishedStatus(status);
				logger.atInfo()
					.log("%s",
							LogLine.of("rollout status told")
								.with("service", status.service())
								.with("target", status.target())
								.with("state", status.state().name()));
			});
	}

	private void orderServers(long token, ServerPlan plan) {
		this.term.recordAction(this.clock.steadyMillis());
		this.dutyInProgress = true;
		this.dependencies.cloud().orderServers(token, plan).whenComplete((verdict, failure) -> {
			this.dutyInProgress = false;
			this.serverOrders.recordOutcome(plan, verdict, this.clock.steadyMillis());
			if (verdict == CloudApi.Verdict.ACCEPTED || verdict == CloudApi.Verdict.NONE_AVAILABLE) {
				this.loop.execute(this::tick);
			}
			else {
				onCloudFailure("servers", verdict);
			}
		});
	}

	private void onCloudFailure(String duty, CloudApi.Verdict verdict) {
		logger.atInfo().log("%s", LogLine.of("cloud call failed").with("duty", duty).with("verdict", verdict.name()));
		if (verdict == CloudApi.Verdict.FENCED) {
			this.term.recordFenced(this.clock.steadyMillis());
		}
	}

}
