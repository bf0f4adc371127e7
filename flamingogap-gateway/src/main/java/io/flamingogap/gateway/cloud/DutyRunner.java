package io.flamingogap.gateway.cloud;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;

import io.flamingogap.core.duty.DutyTerm;
import io.flamingogap.core.fleet.ServerPlan;
import io.flamingogap.gateway.log.LogLine;
import io.flamingogap.gateway.node.ReportCodec;
import io.flamingogap.gateway.store.RecordCodec;
import io.flamingogap.gateway.store.RecordStore;
import io.flamingogap.gateway.store.StoreException;
import io.flamingogap.gateway.store.StoreStream;
import io.flamingogap.gateway.store.StoredRecord;
import io.flamingogap.gateway.time.NodeClock;

/**
 * Takes part in the group that shares the duties and, while this node holds them, carries
 * them out one call at a time.
 */
public final class DutyRunner {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long TICK_MILLIS = 500;

	/** How long a membership lasts in the store without another call. */
	private static final long MEMBER_TTL_MILLIS = 3_000;

	/** How long a confirmation counts here: shorter than in the store. */
	private static final long CONFIRM_MILLIS = 2_500;

	/** A call to join for each member and this time keeps the membership. */
	private static final long JOIN_EACH_MILLIS = 1_000;

	/** The time of day and the steady clock drift apart by this much in a suspension. */
	private static final long SUSPENDED_MILLIS = 500;

	private static final String HOLDER_KEY = "holder";

	private static final String USAGE_KEY = "usage";

	private final DutyDependencies parts;

	private final EventLoop loop;

	private final RecordStore store;

	private final NodeClock clock;

	private final DutyTerm term;

	private final UsageReportSchedule usage;

	private final ServerOrderPlanner scale;

	private long generation;

	private long joinedAtMillis = Long.MIN_VALUE / 2;

	private long dutiesEnd;

	private long clockDifferenceMillis;

	private boolean joining;

	private boolean calling;

	private boolean stopped;

	/**
	 * Create a runner that doesn't take part yet.
	 * @param parts what it works with
	 * @param leaseMillis the time in which two holders must not act by turns
	 * @param usageWindowMillis the length of a window of usage
	 */
	public DutyRunner(DutyDependencies parts, long leaseMillis, long usageWindowMillis) {
		this.parts = parts;
		this.loop = parts.loop();
		this.store = parts.store();
		this.clock = parts.clock();
		this.term = new DutyTerm(leaseMillis, CONFIRM_MILLIS);
		this.usage = new UsageReportSchedule(usageWindowMillis, parts.totals()::usageOf,
				parts.totals()::heardAllWithin);
		this.scale = new ServerOrderPlanner(parts.servers(), parts.firstStart());
	}

	/**
	 * Begin to take part.
	 */
	public void start() {
		this.clockDifferenceMillis = clockDifferenceMillis();
		this.loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Leave the group, so that another node takes over at once.
	 */
	public void stop() {
		this.stopped = true;
		this.term.recordLost();
		this.store.leave(this.parts.member()).exceptionally((failure) -> {
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
		loseIfSuspended();
		if (!this.joining && nowMillis - this.joinedAtMillis >= JOIN_EACH_MILLIS) {
			join(nowMillis);
		}
		if (this.calling) {
			return;
		}
		if (this.term.shouldClaim(nowMillis)) {
			claim();
			return;
		}
		this.term.validToken(nowMillis).ifPresent((token) -> act(token, nowMillis));
	}

	/**
	 * The steady clock stands still while a machine is suspended, so the node would take
	 * an old confirmation for a new one.
	 */
	private void loseIfSuspended() {
		long difference = clockDifferenceMillis();
		if (Math.abs(difference - this.clockDifferenceMillis) > SUSPENDED_MILLIS) {
			this.term.recordLost();
		}
		this.clockDifferenceMillis = difference;
	}

	private void join(long nowMillis) {
		this.joining = true;
		this.joinedAtMillis = nowMillis;
		this.store.join(this.parts.member(), this.generation, MEMBER_TTL_MILLIS).whenComplete((view, failure) -> {
			this.joining = false;
			if (this.stopped) {
				return;
			}
			if (failure != null) {
				logFailure("membership not kept", failure);
				return;
			}
			this.generation = view.generation();
			this.term.recordMembership(view.holdsDuties(), nowMillis);
		});
	}

	private void claim() {
		this.calling = true;
		this.store.newest(StoreStream.DUTIES, Optional.empty()).whenComplete((page, failure) -> {
			if (failure != null) {
				this.calling = false;
				logFailure("duties not listed before a claim", failure);
				return;
			}
			Optional<UsageReportSchedule.Report> last = page.records()
				.stream()
				.filter((entry) -> entry.key().equals(USAGE_KEY))
				.findFirst()
				.flatMap(DutyRunner::readUsage);
			append(HOLDER_KEY, this.parts.member().getBytes(StandardCharsets.UTF_8), page.endOffset(), () -> {
				this.term.recordClaim(this.dutiesEnd, this.clock.steadyMillis());
				this.usage.takeOver(last, this.parts.trueMillis().getAsLong());
				this.scale.takeOver();
				logger.atInfo()
					.log("%s",
							LogLine.of("duties claimed")
								.with("token", this.dutiesEnd)
								.with("generation", this.generation));
				this.loop.execute(this::tick);
			});
		});
	}

	private static Optional<UsageReportSchedule.Report> readUsage(StoredRecord entry) {
		return ReportCodec.readUsage(entry.value().orElse(new byte[0]))
			.peekLeft((reason) -> logger.atWarning()
				.log("%s", LogLine.of("usage record unreadable").with("reason", reason)))
			.map((read) -> new UsageReportSchedule.Report(read.getKey(), read.getValue()))
			.toJavaOptional();
	}

	private void append(String key, byte[] value, long expectedEnd, Runnable appended) {
		this.store.append(StoreStream.DUTIES, key, Optional.of(value), OptionalLong.of(expectedEnd))
			.whenComplete((offset, failure) -> {
				this.calling = false;
				if (failure != null) {
					logger.atInfo()
						.log("%s",
								LogLine.of("duty record not kept")
									.with("key", key)
									.with("reason", StoreException.of(failure).getMessage()));
					this.term.recordLost();
					return;
				}
				this.dutiesEnd = offset + 1;
				appended.run();
			});
	}

	private void act(long token, long nowMillis) {
		Optional<UsageReportSchedule.Report> open = this.usage.intended();
		if (open.isPresent()) {
			this.term.recordAction(nowMillis);
			sendUsage(token, open.get());
			return;
		}
		Optional<UsageReportSchedule.Report> due = this.usage.nextDue(this.parts.trueMillis().getAsLong());
		if (due.isPresent()) {
			keepUsage(due.get());
			return;
		}
		Optional<RecordCodec.RolloutStatus> untold = this.parts.rollouts().untold().stream().findFirst();
		if (untold.isPresent()) {
			tell(untold.get());
			return;
		}
		this.parts.config()
			.current()
			.filter((held) -> this.parts.serversKnown().getAsBoolean())
			.flatMap((held) -> this.scale.nextDue(held, this.parts.totals(), nowMillis))
			.ifPresent((order) -> order(token, order));
	}

	private void keepUsage(UsageReportSchedule.Report report) {
		this.calling = true;
		append(USAGE_KEY, ReportCodec.writeUsage(report.window(), report.requests()), this.dutiesEnd, () -> {
			this.usage.recordKept(report);
			this.loop.execute(this::tick);
		});
	}

	private void sendUsage(long token, UsageReportSchedule.Report report) {
		this.calling = true;
		this.parts.cloud().reportUsage(token, report.window(), report.requests()).whenComplete((verdict, failure) -> {
			this.calling = false;
			if (verdict == CloudApi.Verdict.ACCEPTED) {
				this.usage.recordSent();
				this.loop.execute(this::tick);
			}
			else {
				afterFailure("usage", verdict);
			}
		});
	}

	private void tell(RecordCodec.RolloutStatus status) {
		this.calling = true;
		StoredRecord entry = this.parts.codec().writeStatus(status);
		this.store.append(StoreStream.STATUS, entry.key(), entry.value(), OptionalLong.empty())
			.whenComplete((offset, failure) -> {
				this.calling = false;
				if (failure != null) {
					logFailure("rollout status not told", failure);
					return;
				}
				this.parts.rollouts().takeStatus(status);
				logger.atInfo()
					.log("%s",
							LogLine.of("rollout status told")
								.with("service", status.service())
								.with("target", status.target())
								.with("state", status.state().name()));
			});
	}

	private void order(long token, ServerPlan order) {
		this.term.recordAction(this.clock.steadyMillis());
		this.calling = true;
		this.parts.cloud().orderServers(token, order).whenComplete((verdict, failure) -> {
			this.calling = false;
			this.scale.record(order, verdict, this.clock.steadyMillis());
			if (verdict == CloudApi.Verdict.ACCEPTED || verdict == CloudApi.Verdict.NONE_AVAILABLE) {
				this.loop.execute(this::tick);
			}
			else {
				afterFailure("servers", verdict);
			}
		});
	}

	private void afterFailure(String duty, CloudApi.Verdict verdict) {
		logger.atInfo().log("%s", LogLine.of("cloud call failed").with("duty", duty).with("verdict", verdict.name()));
		if (verdict == CloudApi.Verdict.FENCED) {
			this.term.recordFenced(this.clock.steadyMillis());
		}
	}

}
